package driftupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// PathSearch is the path at which an upstream serves shard requests.
const PathSearch = "/v1/search"

// maxReplyBytes is the maximum size of a reply.
const maxReplyBytes = 8 << 20

// SearchRequest is the JSON body of a shard request, specified in
// docs/UPSTREAMS.md. Deadline is the remaining time in milliseconds.
type SearchRequest struct {
	Request       string   `json:"request"`
	Attempt       string   `json:"attempt"`
	Shard         string   `json:"shard"`
	Version       uint64   `json:"version"`
	Depots        []string `json:"depots"`
	Text          string   `json:"text"`
	NonIdempotent bool     `json:"once"`
	Deadline      int64    `json:"deadline"`
}

// SearchReply is the JSON body of an upstream's reply, also of a refusal. Busy
// is the number of running requests and Queue that of waiting ones. Retry is
// the time to wait before a retry, in milliseconds.
type SearchReply struct {
	Attempt     string           `json:"attempt"`
	Version     uint64           `json:"version"`
	Depots      []string         `json:"depots"`
	Rows        []driftshard.Row `json:"rows"`
	Count       int              `json:"count"`
	Incarnation uint64           `json:"boot"`
	Busy        int              `json:"busy"`
	Queue       int              `json:"queue"`
	Retry       int64            `json:"retry"`
}

// HTTPDialer opens connections that use the protocol of docs/UPSTREAMS.md.
type HTTPDialer struct {
	transport *http.Transport
}

// NewHTTPDialer returns a Dialer for HTTP upstreams.
func NewHTTPDialer() *HTTPDialer {
	return &HTTPDialer{transport: &http.Transport{DisableCompression: true}}
}

// Dial implements Dialer.
func (d *HTTPDialer) Dial(ctx context.Context, u drifttable.Upstream) (conn Conn, err error) {
	defer errors.DeferredAnnotatef(&err, "dialing upstream %q", u.Name)
	client, err := d.transport.NewClientConn(ctx, "http", u.Address)
	if err != nil {
		return nil, err
	}
	return &httpConn{client: client, url: "http://" + u.Address + PathSearch}, nil
}

// httpConn sends requests on one HTTP connection. The request body is an opaque
// reader without GetBody, so that net/http cannot retry a request.
type httpConn struct {
	client *http.ClientConn
	url    string
}

// Close implements Conn.
func (c *httpConn) Close() error {
	return c.client.Close()
}

// Do implements Conn.
func (c *httpConn) Do(ctx context.Context, r driftshard.Request) Reply {
	if !time.Now().Before(r.Deadline) {
		return Failure{Reason: driftshard.ReasonLate, Err: context.DeadlineExceeded}
	}
	body, err := json.Marshal(newSearchRequest(r))
	if err != nil {
		return Failure{Reason: driftshard.ReasonMalformed, Err: err}
	}
	tracked := &trackedReader{reader: bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, tracked)
	if err != nil {
		return Failure{Reason: driftshard.ReasonMalformed, Err: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		return Failure{Sent: tracked.read.Load(), Reason: failureReason(ctx), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := driftexchange.CheckFinal(resp); err != nil {
		// What follows on the connection is no reply either.
		_ = c.client.Close()
		return Failure{Sent: true, Reason: driftshard.ReasonMalformed, Err: err}
	}
	return parseReply(ctx, resp, r.Attempt)
}

func newSearchRequest(r driftshard.Request) SearchRequest {
	return SearchRequest{
		Request: r.Query, Attempt: r.Attempt, Shard: r.Shard, Version: r.Version,
		Depots: r.Depots, Text: r.Text, NonIdempotent: r.NonIdempotent,
		Deadline: time.Until(r.Deadline).Milliseconds(),
	}
}

func failureReason(ctx context.Context) driftshard.Reason {
	if ctx.Err() != nil {
		return driftshard.ReasonSilent
	}
	return driftshard.ReasonUnreachable
}

// parseReply returns the reply to an attempt. A refusal that names another attempt
// says nothing of this one.
func parseReply(ctx context.Context, resp *http.Response, attempt string) Reply {
	var f SearchReply
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Failure{Sent: true, Reason: failureReason(ctx), Err: err}
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return Failure{Sent: true, Reason: driftshard.ReasonMalformed, Err: err}
	}
	if resp.StatusCode != http.StatusOK && f.Attempt != "" && f.Attempt != attempt {
		return Failure{
			Sent: true, Reason: driftshard.ReasonCrossed,
			Err: fmt.Errorf("HTTP status %d for attempt %q", resp.StatusCode, f.Attempt),
		}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return newAnswer(f)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Refusal{RetryAfter: time.Duration(f.Retry) * time.Millisecond, Incarnation: f.Incarnation}
	case http.StatusConflict:
		return Refusal{Incarnation: f.Incarnation, VersionMismatch: true, Version: f.Version}
	case http.StatusGone:
		return Departure{}
	}
	return Failure{
		Sent: true, Reason: driftshard.ReasonMalformed,
		Err: fmt.Errorf("unexpected HTTP status %d", resp.StatusCode),
	}
}

func newAnswer(f SearchReply) Answer {
	return Answer{
		Attempt: f.Attempt, Version: f.Version, Depots: f.Depots, Rows: f.Rows,
		Count: f.Count, Incarnation: f.Incarnation,
		Load: driftshard.Load{Queue: f.Queue, InFlight: f.Busy},
	}
}

// trackedReader records whether net/http has read from the body. From then on
// the request may have reached the upstream.
type trackedReader struct {
	reader io.Reader
	read   atomic.Bool
}

// Read implements io.Reader.
func (t *trackedReader) Read(p []byte) (n int, err error) {
	t.read.Store(true)
	return t.reader.Read(p)
}
