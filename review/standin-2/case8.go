package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review2/bed"
)

func init() { cases[8] = strayAnswers }

// The dose of strays: that of the site's garble with how = "extra late across".
const (
	strayShare  = 0.04
	strayDelay  = 10 * time.Millisecond
	strayTime   = 5 * time.Second
	strayAround = 3 * time.Second
)

// strayAnswers plays backends that send additional bytes after some of their complete
// answers: half of them, for 5 s.
func strayAnswers(b *bed.Bed, trouble bool) (verdict, error) {
	b.LogRuns = true
	// The body of an answer names what the request asked for.
	body := func(r *http.Request) []byte { return []byte("about " + r.URL.Path + "\n") }
	if err := deploy(b, 2, 6, bed.BackendSpec{Service: service, Slots: 2, Work: 20 * time.Millisecond, Wait: 5 * time.Millisecond, Body: body}); err != nil {
		return verdict{}, err
	}
	c := &checker{bed: b, stop: make(chan struct{})}
	for i := range 40 {
		c.group.Add(1)
		go c.run(b.Machines[i%len(b.Machines)], i%4 < 2)
	}
	time.Sleep(strayAround)
	if trouble {
		for _, e := range b.Backends[:len(b.Backends)/2] {
			e.SetStrays(strayShare, strayDelay)
		}
	}
	time.Sleep(strayTime)
	for _, e := range b.Backends {
		e.SetStrays(0, 0)
	}
	time.Sleep(strayAround)
	close(c.stop)
	c.group.Wait()
	return verdict{
		broken: c.foreign.Load()+c.twice.Load()+c.denied.Load() > 0,
		reason: fmt.Sprintf("%d requests, %d served; %d successes with the answer to another request (MIXED), %d orders that ran more than once (TWICE), %d orders refused with a promise that ran (REFUSED)",
			c.asked.Load(), c.served.Load(), c.foreign.Load(), c.twice.Load(), c.denied.Load()),
	}, nil
}

// checker sends requests, each for a path of its own, and checks the answers.
type checker struct {
	bed                                   *bed.Bed
	group                                 sync.WaitGroup
	stop                                  chan struct{}
	asked, served, foreign, twice, denied atomic.Int64
}

func (c *checker) run(m *bed.Machine, orders bool) {
	defer c.group.Done()
	client := &bed.Client{Address: m.Front()}
	defer client.Close()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		var name [6]byte
		_, _ = rand.Read(name[:])
		r := bed.Request{Method: http.MethodGet, Host: host, Path: lookupPath + hex.EncodeToString(name[:]), Wait: 4 * time.Second}
		if orders {
			r.Method, r.Path, r.Body = http.MethodPost, orderPath+hex.EncodeToString(name[:]), []byte("one loudhailer")
		}
		o := client.Do(r)
		c.asked.Add(1)
		// A second run may begin after the answer.
		time.Sleep(50 * time.Millisecond)
		runs := c.bed.Runs(o.ID)
		note := ""
		if o.Status == http.StatusOK {
			c.served.Add(1)
			if string(o.Body) != "about "+r.Path+"\n" || !strings.HasSuffix(o.Header.Get("X-Server-Stamp"), "."+o.ID) {
				c.foreign.Add(1)
				note = fmt.Sprintf(" MIXED: body %q, proof %q", o.Body, o.Header.Get("X-Server-Stamp"))
			}
		}
		if orders && runs > 1 {
			c.twice.Add(1)
			note += " TWICE"
		}
		if orders && runs > 0 && promises(o.Status) {
			c.denied.Add(1)
			note += " REFUSED"
		}
		c.bed.Record.Log("client of %s: %s %s %s: %s, ran %d times%s", m.Name, o.ID, r.Method, r.Path, o, runs, note)
	}
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
