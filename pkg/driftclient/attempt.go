package driftclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Reasons of the refusals that the client creates itself.
const (
	reasonUnreachable = "unreachable" // no connection was made
	reasonSilent      = "silent"      // no answer arrived on the connection
	reasonMismatched  = "crossed"     // the answer belongs to another request
	reasonMalformed   = "malformed"   // the answer could not be decoded
)

// connectTimeout bounds connecting to one VM, so that time is left for the next
// VM when this one has disappeared and nothing rejects the connection.
const connectTimeout = 250 * time.Millisecond

// attempt sends the query to one VM. The refusal has no reason when the answer
// is valid. remaining is the number of VMs left to try, including this one.
func (c *Client) attempt(
	ctx context.Context, address string, q driftapi.Query, options queryOptions, remaining int,
) (driftapi.Answer, driftapi.Refusal) {
	body, err := json.Marshal(q)
	if err != nil {
		return driftapi.Answer{}, newRefusal(q, driftapi.RanNo, reasonMalformed, err)
	}
	ctx, cancel := withAttemptTimeout(ctx, options, remaining)
	defer cancel()
	var connected atomic.Bool
	ctx, stop := withConnectTimeout(ctx, &connected)
	defer stop()
	req, err := newRequest(ctx, address, body)
	if err != nil {
		return driftapi.Answer{}, newRefusal(q, driftapi.RanNo, reasonUnreachable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return driftapi.Answer{}, newRefusal(q, driftapi.RanNo, reasonUnreachable, err)
	}
	if err != nil {
		return driftapi.Answer{}, newRefusal(q, driftapi.RanUnknown, reasonSilent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readReply(resp, q)
}

// withAttemptTimeout bounds one attempt of an idempotent query to half of the
// remaining time while another VM is left to try.
func withAttemptTimeout(ctx context.Context, options queryOptions, remaining int) (context.Context, context.CancelFunc) {
	deadline, found := ctx.Deadline()
	if !found || !options.idempotent || remaining < 2 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// withConnectTimeout cancels the context when no connection is established in
// time. It sets connected once one is.
func withConnectTimeout(ctx context.Context, connected *atomic.Bool) (traced context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(connectTimeout, func() {
		if !connected.Load() {
			cancel()
		}
	})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// newRequest returns the HTTP request. It hides the type of the body so that
// net/http cannot rewind it and resend the request on another connection.
func newRequest(ctx context.Context, address string, body []byte) (*http.Request, error) {
	reader := io.MultiReader(bytes.NewReader(body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+driftapi.PathQuery, reader)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func newRefusal(q driftapi.Query, ran driftapi.Ran, reason string, err error) driftapi.Refusal {
	r := driftapi.Refusal{Request: q.Request, Ran: ran, Reason: reason}
	if err != nil {
		r.Detail = err.Error()
	}
	return r
}

// readReply decodes a VM's reply and checks that it belongs to the request.
func readReply(resp *http.Response, q driftapi.Query) (driftapi.Answer, driftapi.Refusal) {
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		var answer driftapi.Answer
		if err := decoder.Decode(&answer); err != nil {
			return driftapi.Answer{}, newRefusal(q, driftapi.RanUnknown, reasonMalformed, err)
		}
		if answer.Request != q.Request {
			return driftapi.Answer{}, newRefusal(q, driftapi.RanUnknown, reasonMismatched, nil)
		}
		return answer, driftapi.Refusal{}
	}
	var refusal driftapi.Refusal
	if err := decoder.Decode(&refusal); err != nil || refusal.Ran == "" {
		return driftapi.Answer{}, newRefusal(q, driftapi.RanUnknown, reasonMalformed, err)
	}
	if refusal.Request != "" && refusal.Request != q.Request {
		return driftapi.Answer{}, newRefusal(q, driftapi.RanUnknown, reasonMismatched, nil)
	}
	return driftapi.Answer{}, refusal
}
