package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["cold"] = runCold }

// Figures of the case "cold".
const (
	coldPerS = 10
	coldFor  = 3 * time.Second
	// coldBound is coldPerS x coldBurstFactor + coldSlack.
	coldBound = 1.5*coldPerS + 5
	// coldCrash is a rate well above coldPerS, at which a cold backend crashes.
	coldCrash = 2.5 * coldPerS
	// storeDownFor is how long the store is away.
	storeDownFor = 4500 * time.Millisecond
	// crashFor is how long the backends are down.
	crashFor = 1500 * time.Millisecond
)

// runCold has the backends of a service crash and come back under their ids,
// cold, while the store is away. STORE=up plays it without the store's absence.
func runCold(s *scene) (broken bool, err error) {
	const host, prefix = "desk.example", "/bookings/"
	s.putConfig(3, []route{{
		Name: "bookings", Host: host, Prefix: prefix, Kind: "idempotent", TimeoutMs: 2000,
		TargetLatencyMs: 300, Priority: 1, Service: "hire-desk", Attempts: 2,
	}}, []service{{Name: "hire-desk", HealthPath: "/health", MaxConns: 36, Protocol: "h1", ColdS: coldFor.Seconds(), ColdPerS: coldPerS}})
	var backends []*backend
	for i := range 3 {
		b := newBackend(backendConfig{
			ID: fmt.Sprintf("i-%04x", 0x7f31+i), Service: "hire-desk", Address: s.backendAddress(i),
			Zone: zones[i], Slots: 4, Queue: 24, Work: 20 * time.Millisecond, ColdFor: coldFor, CrashAt: coldCrash,
		}, s.store, s.rec)
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := s.startVMs(); err != nil {
		return false, err
	}
	time.Sleep(coldFor + 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan struct{})
	var clients []*traffic
	for _, m := range s.fleet.vms {
		t := &traffic{
			directory: m.directory(), host: host, zone: m.zone, perSecond: 50, clients: 10, rec: s.rec,
			next: func() *call { return newCall(http.MethodGet, host, prefix+"b", nil, 800*time.Millisecond) },
		}
		clients = append(clients, t)
		go func() { t.run(ctx); done <- struct{}{} }()
	}
	sleep(ctx, 5*time.Second)
	if s.trouble {
		s.store.setDown(os.Getenv("STORE") != "up")
		sleep(ctx, 500*time.Millisecond)
		for _, b := range backends {
			b.crash()
		}
		sleep(ctx, crashFor)
		for _, b := range backends {
			if err := b.start(); err != nil {
				return false, err
			}
		}
		sleep(ctx, storeDownFor-crashFor-500*time.Millisecond)
		s.store.setDown(false)
	}
	for range s.fleet.vms {
		<-done
	}
	return s.judgeCold(backends, clients), nil
}

// judgeCold reports whether a cold backend got more requests within a second than
// the rule allows. A request counts if it was sent and arrived inside that second.
func (s *scene) judgeCold(backends []*backend, clients []*traffic) (broken bool) {
	sent := make(map[string]time.Time)
	for _, t := range clients {
		for _, l := range t.all() {
			sent[l.ID] = l.Sent
		}
	}
	for _, b := range backends {
		var cold []run
		for _, r := range b.runsOf() {
			if r.cold {
				cold = append(cold, r)
			}
		}
		most, from := 0, s.rec.start
		for _, first := range cold {
			start, n := sent[first.id], 0
			for _, r := range cold {
				if !sent[r.id].Before(start) && r.arrived.Sub(start) < time.Second && !r.arrived.Before(start) {
					n++
				}
			}
			if n > most {
				most, from = n, start
			}
		}
		s.rec.conclude("backend %s: %d requests while cold, at most %d in one second (from %.3f on); the rule allows %.0f; %d requests at work were lost as it fell over",
			b.ID, len(cold), most, s.rec.at(from), float64(coldBound), b.lost)
		broken = broken || float64(most) > coldBound
	}
	return broken
}
