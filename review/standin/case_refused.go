package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = runRefused }

// Figures of the case "refused": 2 of 14 backends fail 0.4 of their requests.
const (
	greyBackends = 2
	allBackends  = 14
	greyFrom     = 4 * time.Second
	greyFor      = 6500 * time.Millisecond
)

// runRefused has some backends fail part of the requests that they have run, for a
// while.
func runRefused(s *scene) (broken bool, err error) {
	const host, prefix = "book.example", "/hold/"
	s.putConfig(3, []route{{
		Name: "hold-unit", Host: host, Prefix: prefix, Kind: "non_idempotent", TimeoutMs: 4000,
		TargetLatencyMs: 600, Priority: 1, Service: "receipt-office", Attempts: 2,
	}}, []service{{Name: "receipt-office", HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdS: 3}})
	var backends []*backend
	var grey atomic.Bool
	var booking atomic.Int64
	for i := range allBackends {
		c := backendConfig{
			ID: fmt.Sprintf("i-%04x", 0x7f31+i), Service: "receipt-office", Address: s.backendAddress(i),
			Zone: zones[i%3], Slots: 2, Queue: 8, Work: 100 * time.Millisecond,
		}
		if i < greyBackends {
			c.Reply = func(id string) int {
				if grey.Load() {
					return failSome(id)
				}
				return http.StatusOK
			}
		}
		b := newBackend(c, s.store, s.rec)
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := s.startVMs(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	var all []*traffic
	done := make(chan struct{})
	for _, m := range s.fleet.vms {
		t := &traffic{
			directory: m.directory(), host: host, zone: m.zone, perSecond: 80, clients: 24, rec: s.rec,
			next: func() *call {
				body := fmt.Sprintf("booking %d", booking.Add(1))
				return newCall(http.MethodPost, host, prefix+"u", []byte(body), 2*time.Second)
			},
			// Clients send a request that is not idempotent again after a promise.
			retry: func(l *call) *call {
				if l.Err != nil || !isPromise(l.Status) {
					return nil
				}
				return newCall(l.Method, l.Host, l.Path, l.Body, l.Wait-time.Since(l.Sent))
			},
		}
		all = append(all, t)
		go func() { t.run(ctx); done <- struct{}{} }()
	}
	if s.trouble {
		sleep(ctx, greyFrom)
		grey.Store(true)
		s.rec.printf("backends %s and %s: begin to fail", backends[0].ID, backends[1].ID)
		sleep(ctx, greyFor)
		grey.Store(false)
		s.rec.printf("backends %s and %s: fail no more", backends[0].ID, backends[1].ID)
	}
	for range all {
		<-done
	}
	ran := make(map[string]bool)
	bookings := make(map[string]int)
	for _, b := range backends {
		for _, r := range b.runsOf() {
			if r.started {
				ran[r.id] = true
				bookings[r.body]++
			}
		}
	}
	twice := 0
	for body, n := range bookings {
		if n > 1 {
			twice++
			s.rec.printf("%s ran %d times", body, n)
		}
	}
	wrong, total, ok := 0, 0, 0
	for _, t := range all {
		good, n := served(t.all())
		total, ok = total+n, ok+good
		for _, l := range t.all() {
			if l.Err == nil && isPromise(l.Status) && ran[l.ID] {
				wrong++
				s.rec.printf("refused: %s was answered %d and has run", l.ID, l.Status)
			}
		}
	}
	s.rec.conclude("%d requests, %d served; %d that are not idempotent were answered 429, 503, 408 or 421 and have run; %d bookings ran twice, as the client took the promise", total, ok, wrong, twice)
	return wrong > 0, nil
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// failSome fails 0.4 of the requests after their work: the backend's answer is a
// 503 of its own, without X-Not-Executed.
func failSome(id string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	if sum.Sum32()%10 < 4 {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
