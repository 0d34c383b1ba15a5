package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"review2/bed"
)

func init() { cases[6] = endlessHead }

// host and the paths are those of the cases' configuration.
const (
	host       = "leno12.example"
	lookupPath = "/goka902/"
	orderPath  = "/befo117/"
	service    = "kafi81c"
)

// configure writes the first configuration: one service, a route whose requests may be
// repeated and one whose requests may not.
func configure(b *bed.Bed) {
	b.Store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-1", "host": host, "prefix": lookupPath, "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 2, "service": service, "attempts": 2},
			map[string]any{"name": "r-2", "host": host, "prefix": orderPath, "kind": "non_idempotent", "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 2, "service": service, "attempts": 2},
		},
		"services": []any{
			map[string]any{"name": service, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// deploy starts backends and machines.
func deploy(b *bed.Bed, machines, backends int, spec bed.BackendSpec) error {
	zones := []string{"ondangwa", "oshakati", "ongwediva"}
	configure(b)
	for i := range backends {
		if err := b.StartBackend(spec, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := b.StartMachines(machines, zones...); err != nil {
		return err
	}
	return b.AwaitReady(host, machines)
}

func bodyOf(bytes int) func(*http.Request) []byte {
	body := make([]byte, bytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	return func(*http.Request) []byte { return body }
}

// callers sends requests of ordinary clients until stop is closed, each from a kept
// connection, and counts what they see.
type callers struct {
	bed    *bed.Bed
	group  sync.WaitGroup
	stop   chan struct{}
	mu     sync.Mutex
	asked  int
	served int
	failed int
	// lost counts the requests that ran, were sent on a kept connection, and whose
	// connection ended without an answer before the client's time was over.
	lost int
}

func startCallers(b *bed.Bed, each int, pause time.Duration) *callers {
	c := &callers{bed: b, stop: make(chan struct{})}
	for _, m := range b.Machines {
		for range each {
			c.group.Add(1)
			go c.run(m, pause)
		}
	}
	return c
}

func (c *callers) run(m *bed.Machine, pause time.Duration) {
	defer c.group.Done()
	client := &bed.Client{Address: m.Front()}
	defer client.Close()
	const wait = 4 * time.Second
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		o := client.Do(bed.Request{Method: http.MethodGet, Host: host, Path: lookupPath + "2f", Wait: wait})
		ran := c.bed.Runs(o.ID)
		c.bed.Record.Log("client of %s: %s on a kept connection=%t: %s, ran %d times", m.Name, o.ID, o.Kept, o, ran)
		c.mu.Lock()
		c.asked++
		switch {
		case o.Status == http.StatusOK:
			c.served++
		default:
			c.failed++
			if o.Err != nil && o.Kept && ran > 0 && o.Took < wait {
				c.lost++
			}
		}
		c.mu.Unlock()
	}
}

func (c *callers) end() {
	close(c.stop)
	c.group.Wait()
}

// endlessHead plays clients that begin a request as HTTP/2 does and then send a head
// without end. Three times, one connection to each of two machines.
func endlessHead(b *bed.Bed, trouble bool) (verdict, error) {
	if err := deploy(b, 3, 6, bed.BackendSpec{Service: service, Slots: 4, Work: 20 * time.Millisecond, Wait: 100 * time.Millisecond, Body: bodyOf(1500)}); err != nil {
		return verdict{}, err
	}
	ordinary := startCallers(b, 4, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	targets := b.Machines[:2]
	for round := 1; round <= 3; round++ {
		if !trouble {
			time.Sleep(5 * time.Second)
			continue
		}
		var group sync.WaitGroup
		for _, m := range targets {
			group.Add(1)
			go func() {
				defer group.Done()
				sent, took, err := sendEndlessHead(m.Front())
				b.Record.Say("round %d: one connection to %s took %d MB of head in %.1f s: %v", round, m.Name, sent>>20, took.Seconds(), err)
			}()
		}
		group.Wait()
		if err := b.AwaitReady(host, len(b.Machines)); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Second)
	}
	ordinary.end()
	machines, text := 0, ""
	for _, m := range b.Machines {
		peak, killed := m.Memory()
		text += fmt.Sprintf("%s had %d MB at most, %d processes over %d MB; ", m.Name, peak, killed, bed.MemoryMB)
		if killed >= 3 {
			machines++
		}
	}
	text += fmt.Sprintf("ordinary clients: %d asked, %d served, %d not; %d lost that had run", ordinary.asked, ordinary.served, ordinary.failed, ordinary.lost)
	return verdict{broken: machines >= 2, reason: text}, nil
}

// maxEndless is how much of a head is sent at most.
const maxEndless = 1 << 30

// sendEndlessHead sends a head without end until the connection ends, or 20 s have passed.
func sendEndlessHead(address string) (sent int, took time.Duration, err error) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(start.Add(20 * time.Second))
	if _, err := conn.Write([]byte("PRI * HTTP/2.0\r\n")); err != nil {
		return 0, time.Since(start), err
	}
	lines := bytes.Repeat([]byte("X-Filler: "+string(bytes.Repeat([]byte("a"), 8000))+"\r\n"), 8)
	for sent < maxEndless {
		n, err := conn.Write(lines)
		sent += n
		if err != nil {
			return sent, time.Since(start), err
		}
	}
	return sent, time.Since(start), nil
}
