package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// call is one request of a client and what came of it.
type call struct {
	ID, Method, Host, Path string
	Body                   []byte
	// Wait is the client's time budget.
	Wait time.Duration

	VM     string
	Sent   time.Time
	Ended  time.Time
	Status int
	Header http.Header
	Answer []byte
	// Err is set if there was no complete answer.
	Err error
}

var callNumber atomic.Int64

func newCall(method, host, path string, body []byte, wait time.Duration) *call {
	id := fmt.Sprintf("%016x", uint64(callNumber.Add(1))<<32|uint64(rand.Uint32()))
	return &call{ID: id, Method: method, Host: host, Path: path, Body: body, Wait: wait}
}

// clientConn is a client's connection, which carries one request at a time.
type clientConn struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{address: address, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends the call and waits for its answer. It reports whether the connection
// can carry another.
func (c *clientConn) do(l *call, rec *record) (keep bool) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		l.Method, l.Path, l.Host, l.ID, l.Wait.Milliseconds())
	if l.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(l.Body))
	}
	b.WriteString("\r\n")
	b.Write(l.Body)
	l.VM, l.Sent = c.address, time.Now()
	_ = c.conn.SetDeadline(l.Sent.Add(l.Wait + 500*time.Millisecond))
	keep, l.Err = c.exchange(b.Bytes(), l)
	l.Ended = time.Now()
	if l.Err != nil {
		rec.printf("client: %s %s to %s sent at %.3f: no complete answer after %.3f s: %v",
			l.ID, l.Path, c.address, rec.at(l.Sent), l.Ended.Sub(l.Sent).Seconds(), l.Err)
	} else {
		rec.printf("client: %s %s to %s sent at %.3f: %d after %.3f s",
			l.ID, l.Path, c.address, rec.at(l.Sent), l.Status, l.Ended.Sub(l.Sent).Seconds())
	}
	return keep
}

func (c *clientConn) exchange(request []byte, l *call) (keep bool, err error) {
	if _, err := c.conn.Write(request); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: l.Method})
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	l.Status, l.Header = response.StatusCode, response.Header
	l.Answer, err = io.ReadAll(response.Body)
	return err == nil && !response.Close, err
}

func (c *clientConn) close() { _ = c.conn.Close() }

// resolve asks a directory for the addresses of fronts.
func resolve(directory, host, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + directory + "/v1/resolve?name=" + host + "&region=" + region + "&zone=" + zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Addrs) == 0 {
		return nil, errors.New("no addresses")
	}
	return answer.Addrs, nil
}

// traffic sends calls at a steady rate until the context ends. Each of its
// clients asks the directory of its zone, keeps one connection, and uses it until
// it ends.
type traffic struct {
	directory, host, zone string
	// perSecond is the rate of all clients together.
	perSecond float64
	clients   int
	next      func() *call
	// retry, if set, returns the client's new attempt after an answer, or nil.
	retry func(*call) *call
	rec   *record

	mu    sync.Mutex
	calls []*call
}

func (t *traffic) run(ctx context.Context) {
	var wait sync.WaitGroup
	period := time.Duration(float64(t.clients) / t.perSecond * float64(time.Second))
	for i := range t.clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			sleep(ctx, period*time.Duration(i)/time.Duration(t.clients))
			t.runClient(ctx, period)
		}()
	}
	wait.Wait()
}

func (t *traffic) runClient(ctx context.Context, period time.Duration) {
	var conn *clientConn
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if conn == nil {
			addresses, err := resolve(t.directory, t.host, t.zone)
			if err == nil {
				conn, err = dialClient(addresses[rand.IntN(len(addresses))])
			}
			if err != nil {
				conn = nil
			}
		}
		if conn != nil {
			l := t.next()
			t.mu.Lock()
			t.calls = append(t.calls, l)
			t.mu.Unlock()
			if !conn.do(l, t.rec) {
				conn.close()
				conn = nil
			}
			t.runRetry(l)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	if conn != nil {
		conn.close()
	}
}

// runRetry makes the client's new attempt, if any, on a new connection.
func (t *traffic) runRetry(l *call) {
	if t.retry == nil {
		return
	}
	again := t.retry(l)
	if again == nil {
		return
	}
	conn, err := dialClient(l.VM)
	if err != nil {
		return
	}
	defer conn.close()
	t.mu.Lock()
	t.calls = append(t.calls, again)
	t.mu.Unlock()
	t.rec.printf("client: %s is sent again as %s", l.ID, again.ID)
	conn.do(again, t.rec)
}

func (t *traffic) all() []*call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*call(nil), t.calls...)
}

// served returns how many calls were answered with success, and of how many.
func served(calls []*call) (ok, all int) {
	for _, l := range calls {
		if l.Err == nil && l.Status == http.StatusOK {
			ok++
		}
	}
	return ok, len(calls)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
