// Package driftclient is the client library for callers. It fetches the list of
// entry VMs from any of them, caches it for its time to live, and sends queries.
//
// The list is renewed in the background before it expires; a query waits for
// a list only while the client has none. By default a client tries the next VM
// only when the request certainly did not run: the refusal says so, or no
// connection was made. It never has two attempts of a query in flight.
//
// When a VM gives no answer, it is unknown whether the request ran. The client
// then returns a driftapi.Refusal whose Ran is "unknown", unless the caller
// allows another run with Idempotent.
//
// # Usage
//
//	client := driftclient.New([]string{"10.0.0.1:7000"}, driftclient.WithDomain("Recife"))
//	defer client.Close()
//	answer, err := client.Query(ctx, driftapi.Query{
//		Request: "till-7-1", Class: "counter", Text: "church", Deadline: 200,
//	})
package driftclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Client sends queries to the entry VMs. It is safe for concurrent use.
type Client struct {
	seeds  []string
	caller string
	domain string
	http   *http.Client

	mu       sync.Mutex
	entries  []driftapi.Entry
	renewAt  time.Time
	renewing chan struct{}
}

// Option configures a Client.
type Option func(*Client)

// WithCaller sets the caller's name. Callers are distributed over the entry VMs
// by name.
func WithCaller(name string) Option {
	return func(c *Client) { c.caller = name }
}

// WithDomain sets the caller's failure domain. Entry VMs in it are preferred.
func WithDomain(domain string) Option {
	return func(c *Client) { c.domain = domain }
}

// WithTransport sets the HTTP transport. The default uses plain HTTP/1.1
// connections.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// New returns a Client with the given seed addresses of entry VMs.
func New(addresses []string, opts ...Option) *Client {
	c := &Client{seeds: addresses, http: &http.Client{Transport: &http.Transport{}}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections. It does not stop a renewal in progress, which
// ends on its own because each of its requests has a timeout.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// QueryOption configures one query.
type QueryOption func(*queryOptions)

// queryOptions holds the options of one query.
type queryOptions struct {
	idempotent bool
}

// Idempotent lets the client retry the query on another VM when one gives no
// answer. It is meant for classes of work that may run more than once.
func Idempotent() QueryOption {
	return func(t *queryOptions) { t.idempotent = true }
}

// Query sends a query. The error is a driftapi.Refusal when a VM refuses it or
// when it is unknown whether it ran.
func (c *Client) Query(ctx context.Context, q driftapi.Query, opts ...QueryOption) (answer driftapi.Answer, err error) {
	var options queryOptions
	for _, opt := range opts {
		opt(&options)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.Deadline)*time.Millisecond)
	defer cancel()
	last := driftapi.Refusal{Request: q.Request, Ran: driftapi.RanNo, Reason: reasonUnreachable}
	entries := c.entryList(ctx)
	for i, entry := range entries {
		answer, last = c.attempt(ctx, entry.Address, q, options, len(entries)-i)
		if last.Reason == "" {
			return answer, nil
		}
		if last.Reason == reasonUnreachable || last.Ran == driftapi.RanUnknown {
			c.demote(entry)
		}
		if !options.mayTryNext(last) || ctx.Err() != nil {
			break
		}
	}
	return driftapi.Answer{}, last
}

// mayTryNext reports whether the query may be sent to another VM after the
// refusal.
func (t queryOptions) mayTryNext(r driftapi.Refusal) bool {
	if r.Field != "" {
		return false
	}
	return r.Ran == driftapi.RanNo || (t.idempotent && r.Ran == driftapi.RanUnknown)
}
