package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = runStop }

// Times of the case "stop", after the SIGTERM.
const (
	// stopRequestsFrom is when the first of the requests in question is sent. The
	// rule excuses those that are sent no later than 3 s after the SIGTERM.
	stopRequestsFrom = 3400 * time.Millisecond
	// stopRequestGap is the time between two of them.
	stopRequestGap = 40 * time.Millisecond
	// stopRequests is how many are sent on kept connections, and as many on new ones.
	stopRequests = 6
	// stopWork is how long a backend works on a request of this class, so that the
	// last is done 5.7 s after the SIGTERM, before graceS ends.
	stopWork = 1900 * time.Millisecond
)

// runStop stops one VM while clients use it for requests that take 1.9 s.
func runStop(s *scene) (broken bool, err error) {
	const host, prefix = "reports.example", "/night/"
	s.putConfig(3, []route{{
		Name: "night-report", Host: host, Prefix: prefix, Kind: "non_idempotent", TimeoutMs: 4000,
		TargetLatencyMs: 3000, Priority: 2, Service: "receipt-office", Attempts: 1,
	}}, []service{{Name: "receipt-office", HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdS: 3}})
	var backends []*backend
	for i := range 6 {
		b := newBackend(backendConfig{
			ID: fmt.Sprintf("i-%04x", 0x7f31+i), Service: "receipt-office", Address: s.backendAddress(i),
			Zone: zones[i%3], Slots: 4, Queue: 8, Work: stopWork,
		}, s.store, s.rec)
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := s.startVMs(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	stopped := s.fleet.vms[0]
	addresses, err := resolve(stopped.directory(), host, stopped.zone)
	if err != nil {
		return false, err
	}
	s.rec.printf("client: the directory names %v", addresses)
	next := func() *call {
		return newCall(http.MethodPost, host, prefix+"r", bytes.Repeat([]byte("n"), 300), 4*time.Second)
	}
	kept := make([]*clientConn, stopRequests)
	var wait sync.WaitGroup
	for i := range kept {
		if kept[i], err = dialClient(stopped.front()); err != nil {
			return false, err
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			if l := next(); !kept[i].do(l, s.rec) {
				s.rec.printf("client: connection %d was not kept", i)
			}
		}()
	}
	wait.Wait()

	at := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.trouble {
		stopped.signal(syscall.SIGTERM)
		go func() {
			sleep(ctx, grace)
			if ctx.Err() == nil {
				stopped.signal(syscall.SIGKILL)
			}
		}()
	}
	calls := make([]*call, 2*stopRequests)
	for i := range calls {
		calls[i] = next()
		wait.Add(1)
		go func() {
			defer wait.Done()
			sleep(ctx, time.Until(at.Add(stopRequestsFrom+time.Duration(i)*stopRequestGap)))
			conn := kept[i/2]
			if i%2 == 1 {
				if conn, err = dialClient(stopped.front()); err != nil {
					calls[i].Err = err
					s.rec.printf("client: %s is not sent: %v", calls[i].ID, err)
					return
				}
			}
			defer conn.close()
			conn.do(calls[i], s.rec)
		}()
	}
	wait.Wait()
	time.Sleep(time.Until(at.Add(grace + 300*time.Millisecond)))
	return s.judgeStop(backends, calls, at), nil
}

// judgeStop counts the requests that a backend ran and whose connection ended
// without a complete answer.
func (s *scene) judgeStop(backends []*backend, calls []*call, at time.Time) (broken bool) {
	ran := make(map[string]run)
	for _, b := range backends {
		for _, r := range b.runsOf() {
			if r.started {
				ran[r.id] = r
			}
		}
	}
	lost, answered, refused := 0, 0, 0
	for _, l := range calls {
		r, started := ran[l.ID]
		sent := l.Sent.Sub(at)
		switch {
		case l.Err == nil && l.Status == http.StatusOK:
			answered++
		case l.Err == nil:
			refused++
		case started && sent > 3*time.Second && l.Ended.Sub(l.Sent) < l.Wait:
			lost++
			s.rec.printf("lost: %s, sent %.2f s after the SIGTERM, ran at a backend from %.2f s on, cut at %.2f s: %v",
				l.ID, sent.Seconds(), r.arrived.Sub(at).Seconds(), l.Ended.Sub(at).Seconds(), l.Err)
		}
	}
	s.rec.conclude("%d requests: %d served, %d answered otherwise, %d ran at a backend and were cut off without an answer",
		len(calls), answered, refused, lost)
	return lost > 0
}
