package driftpeer

import (
	"context"
	"net/http/httptrace"
)

// attach returns a context that notes when the request gets a connection.
func (t *writeTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}
