package bed

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is a stand-in for a client that keeps one connection.
type Client struct {
	Address string

	conn   net.Conn
	reader *bufio.Reader
	kept   bool
}

// Request is one client attempt.
type Request struct {
	Method, Host, Path string
	Body               []byte
	// Wait is how long the client waits.
	Wait time.Duration
}

// Outcome is what the client saw.
type Outcome struct {
	ID string
	// Status is 0 if there was no complete answer, and Err says why.
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// Kept is set if the connection had carried another request before.
	Kept bool
	// Connected is set if the connection was established.
	Connected bool
	Took      time.Duration
}

// String describes the outcome for the record.
func (o Outcome) String() string {
	if o.Err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", o.Took.Milliseconds(), o.Err)
	}
	return fmt.Sprintf("%d after %d ms", o.Status, o.Took.Milliseconds())
}

// NewID returns an id for a request.
func NewID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Head returns the head of the request with the id.
func (r Request) Head(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Method, r.Path, r.Host, id, r.Wait.Milliseconds())
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Do sends the request, on the open connection if there is one, and waits for the answer.
func (c *Client) Do(r Request) (o Outcome) {
	o.ID = NewID()
	start := time.Now()
	defer func() {
		o.Took = time.Since(start)
		if o.Err != nil || o.Header.Get("Connection") == "close" {
			c.Close()
		}
	}()
	o.Kept = c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Address, time.Second)
		if err != nil {
			o.Err = err
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	o.Connected = true
	_ = c.conn.SetDeadline(start.Add(r.Wait))
	if _, o.Err = c.conn.Write(append(r.Head(o.ID), r.Body...)); o.Err != nil {
		return o
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		o.Err = err
		return o
	}
	o.Header = response.Header
	if response.Close {
		o.Header.Set("Connection", "close")
	}
	if o.Body, o.Err = io.ReadAll(response.Body); o.Err == nil {
		o.Status = response.StatusCode
	}
	return o
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
