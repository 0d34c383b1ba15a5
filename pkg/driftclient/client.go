// Package driftclient is the callers' library: it asks any entry VM which
// VMs to use, keeps that list for its time to live, and sends queries.
//
// A client moves on to the next VM by itself only when the request surely
// did not run: a refusal that says so, or a connection that was never made.
//
// # Usage
//
//	client := driftclient.New([]string{"10.0.0.1:7000"}, driftclient.WithDomain("Recife"))
//	answer, err := client.Query(ctx, driftapi.Query{
//		Request: "till-7-1", Class: "counter", Text: "church", Deadline: 200,
//	})
package driftclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Client sends queries to the entry VMs. It is safe for concurrent use.
type Client struct {
	seeds  []string
	caller string
	domain string
	http   *http.Client

	mu      sync.Mutex
	entries []driftapi.Entry
	expires time.Time
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

// New returns a Client that knows the given addresses of entry VMs.
func New(addresses []string, opts ...Option) *Client {
	c := &Client{seeds: addresses, http: &http.Client{Transport: &http.Transport{}}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Query sends a query. The error is a driftapi.Refusal when a VM refused or
// when it stays open whether the request ran.
func (c *Client) Query(ctx context.Context, q driftapi.Query) (answer driftapi.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.Deadline)*time.Millisecond)
	defer cancel()
	last := driftapi.Refusal{Request: q.Request, Ran: driftapi.RanNo, Reason: "unreachable"}
	for _, e := range c.list(ctx) {
		answer, last = c.try(ctx, e.Address, q)
		if last.Reason == "" {
			return answer, nil
		}
		if last.Ran != driftapi.RanNo || last.Field != "" || ctx.Err() != nil {
			break
		}
	}
	return driftapi.Answer{}, last
}

// list returns the entry VMs to use, asking for them when the list is old.
func (c *Client) list(ctx context.Context) []driftapi.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.entries
	}
	for _, address := range c.known() {
		if list, err := c.ask(ctx, address); err == nil && len(list.Entries) > 0 {
			c.entries = list.Entries
			c.expires = time.Now().Add(time.Duration(list.Life) * time.Millisecond)
			return c.entries
		}
	}
	return c.entries
}

// known returns the addresses to ask, those of the last list first.
func (c *Client) known() []string {
	var known []string
	for _, e := range c.entries {
		known = append(known, e.Address)
	}
	return append(known, c.seeds...)
}

func (c *Client) ask(ctx context.Context, address string) (list driftapi.Entries, err error) {
	defer errors.DeferredAnnotatef(&err, "asking %s for entry VMs", address)
	values := url.Values{"caller": {c.caller}, "domain": {c.domain}}
	target := "http://" + address + driftapi.PathEntries + "?" + values.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return list, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}

// try sends the query to one VM. The refusal has no reason when the answer
// is good.
func (c *Client) try(ctx context.Context, address string, q driftapi.Query) (driftapi.Answer, driftapi.Refusal) {
	unknown := driftapi.Refusal{Request: q.Request, Ran: driftapi.RanUnknown, Reason: "silent"}
	body, err := json.Marshal(q)
	if err != nil {
		return driftapi.Answer{}, unreached(q, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The reader hides its type, so that the library cannot replay the body.
	reader := io.MultiReader(bytes.NewReader(body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+driftapi.PathQuery, reader)
	if err != nil {
		return driftapi.Answer{}, unreached(q, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		unknown.Detail = err.Error()
		if !connected.Load() {
			return driftapi.Answer{}, unreached(q, err)
		}
		return driftapi.Answer{}, unknown
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp, q, unknown)
}

func unreached(q driftapi.Query, err error) driftapi.Refusal {
	return driftapi.Refusal{
		Request: q.Request, Ran: driftapi.RanNo, Reason: "unreachable", Detail: err.Error(),
	}
}

// read reads a VM's reply and checks that it is the request's own.
func read(resp *http.Response, q driftapi.Query, unknown driftapi.Refusal) (driftapi.Answer, driftapi.Refusal) {
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		var answer driftapi.Answer
		if err := decoder.Decode(&answer); err != nil || answer.Request != q.Request {
			unknown.Reason = "crossed"
			return driftapi.Answer{}, unknown
		}
		return answer, driftapi.Refusal{}
	}
	var refusal driftapi.Refusal
	if err := decoder.Decode(&refusal); err != nil || refusal.Ran == "" {
		unknown.Reason = "malformed"
		return driftapi.Answer{}, unknown
	}
	return driftapi.Answer{}, refusal
}
