// Package driftclient is the callers' library: it asks any entry VM which
// VMs to use, keeps that list for its time to live, and sends queries.
//
// The list is renewed in the background before it expires; a query waits for
// a list only while the client has none. A client moves on to the next VM by
// itself only when the request surely did not run: a refusal that says so, or
// a connection that was never made. It sends nothing twice at a time.
//
// A VM that gives no answer leaves open whether the request ran. The client
// then returns a driftapi.Refusal whose Ran is "unknown", unless the caller
// has said by Idempotent that the request may run again.
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

// Option changes a Client that New makes.
type Option func(*Client)

// WithCaller sets the caller's name, by which callers are spread.
func WithCaller(name string) Option {
	return func(c *Client) { c.caller = name }
}

// WithDomain sets the caller's failure domain, whose VMs come first.
func WithDomain(domain string) Option {
	return func(c *Client) { c.domain = domain }
}

// WithTransport sets the transport below the client, by default one with
// plain HTTP/1.1 connections.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// New returns a Client that knows the given addresses of entry VMs.
func New(addresses []string, opts ...Option) *Client {
	c := &Client{seeds: addresses, http: &http.Client{Transport: &http.Transport{}}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections. A renewal that runs ends by itself.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// QueryOption changes one query.
type QueryOption func(*queryOptions)

// queryOptions are what the caller allows for one query.
type queryOptions struct {
	idempotent bool
}

// Idempotent lets the client send the query to another VM when one gave no
// answer, for a class of work that may run more than once.
func Idempotent() QueryOption {
	return func(t *queryOptions) { t.idempotent = true }
}

// Query sends a query. The error is a driftapi.Refusal when a VM refused or
// when it stays open whether the request ran.
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

// mayTryNext reports whether another VM may be tried after a refusal.
func (t queryOptions) mayTryNext(r driftapi.Refusal) bool {
	if r.Field != "" {
		return false
	}
	return r.Ran == driftapi.RanNo || (t.idempotent && r.Ran == driftapi.RanUnknown)
}
