package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["seeds"] = runSeeds }

// runSeeds starts the VMs while their seeds are stale. The settings files name
// the right seeds within seedLagS, and SIGHUP says so.
func runSeeds(s *scene) (broken bool, err error) {
	const host, prefix = "desk.example", "/bookings/"
	s.putConfig(3, []route{{
		Name: "bookings", Host: host, Prefix: prefix, Kind: "idempotent", TimeoutMs: 2000,
		TargetLatencyMs: 300, Priority: 1, Service: "hire-desk", Attempts: 2,
	}}, []service{{Name: "hire-desk", HealthPath: "/health", MaxConns: 36, Protocol: "h1", ColdS: coldFor.Seconds(), ColdPerS: coldPerS}})
	for i, zone := range zones {
		s.fleet.add(i+1, zone)
	}
	var right, stale []string
	for i, m := range s.fleet.vms {
		right = append(right, m.control())
		stale = append(stale, fmt.Sprintf("%s.%d:%d", s.fleet.network, 11+i, s.fleet.ports.control))
	}
	for _, m := range s.fleet.vms {
		m.seeds = right
		if s.trouble {
			m.seeds = stale
		}
		if err := m.start(false); err != nil {
			return false, err
		}
	}
	if err := awaitReady(s.fleet.vms...); err != nil {
		return false, err
	}
	time.Sleep(seedLag)
	if s.trouble {
		for _, m := range s.fleet.vms {
			m.seeds = right
			if err := m.writeSettings(false); err != nil {
				return false, err
			}
			m.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(2*contact + 12*time.Second)
	for _, m := range s.fleet.vms {
		addresses, err := resolve(m.directory(), host, m.zone)
		s.rec.printf("VM %s: its directory names %v %v", m.name, addresses, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	done := make(chan struct{})
	var clients []*traffic
	for _, m := range s.fleet.vms {
		t := &traffic{
			directory: m.directory(), host: host, zone: m.zone, perSecond: 30, clients: 10, rec: s.rec,
			next: func() *call { return newCall(http.MethodGet, host, prefix+"b", nil, 800*time.Millisecond) },
		}
		clients = append(clients, t)
		go func() { t.run(ctx); done <- struct{}{} }()
	}
	sleep(ctx, 2*time.Second)
	var backends []*backend
	for i := range 2 {
		b := newBackend(backendConfig{
			ID: fmt.Sprintf("i-%04x", 0x7f31+i), Service: "hire-desk", Address: s.backendAddress(i),
			Zone: zones[i], Slots: 4, Queue: 24, Work: 20 * time.Millisecond, ColdFor: coldFor, CrashAt: coldCrash,
		}, s.store, s.rec)
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	for range s.fleet.vms {
		<-done
	}
	return s.judgeCold(backends, clients), nil
}
