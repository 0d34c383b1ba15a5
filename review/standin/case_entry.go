package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["entry"] = runEntry }

// runEntry has another writer write the entry of one backend: the field version is
// missing, and the service is not the backend's.
func runEntry(s *scene) (broken bool, err error) {
	const host = "desk.example"
	routeOf := func(name, prefix, kind, service string, priority int) route {
		return route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, TimeoutMs: 4000, TargetLatencyMs: 600,
			Priority: priority, Service: service, Attempts: 2,
		}
	}
	serviceOf := func(name string) service {
		return service{Name: name, HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdS: 3}
	}
	s.putConfig(3, []route{
		routeOf("hold-unit", "/hold/", "non_idempotent", "hire-desk", 1),
		routeOf("receipt-fetch", "/receipts/", "idempotent", "receipt-office", 2),
	}, []service{serviceOf("hire-desk"), serviceOf("receipt-office")})
	// prefixes holds the prefix of the only route to each service.
	prefixes := map[string]string{"hire-desk": "/hold/", "receipt-office": "/receipts/"}
	var backends []*backend
	for i := range 6 {
		name := []string{"hire-desk", "receipt-office"}[i/3]
		b := newBackend(backendConfig{
			ID: fmt.Sprintf("i-%04x", 0x7f31+i), Service: name, Address: s.backendAddress(i),
			Zone: zones[i%3], Slots: 4, Queue: 24, Work: 80 * time.Millisecond,
		}, s.store, s.rec)
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
	done := make(chan struct{})
	var clients []*traffic
	for i, m := range s.fleet.vms {
		for service, prefix := range prefixes {
			method, rate := http.MethodGet, 20.0
			if service == "hire-desk" {
				method, rate = http.MethodPost, 46.0
			}
			t := &traffic{
				directory: m.directory(), host: host, zone: m.zone, perSecond: rate, clients: 16, rec: s.rec,
				next: func() *call {
					var body []byte
					if method == http.MethodPost {
						body = fmt.Appendf(nil, "unit of client zone %d", i)
					}
					return newCall(method, host, prefix+"u", body, 2*time.Second)
				},
			}
			clients = append(clients, t)
			go func() { t.run(ctx); done <- struct{}{} }()
		}
	}
	sleep(ctx, 4*time.Second)
	if s.trouble {
		b := backends[3]
		s.store.put("servers/"+b.ID, map[string]any{
			"service": "hire-desk", "address": b.Address, "zone": b.Zone, "slots": b.Slots, "state": "ready",
			"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		s.rec.printf("another writer: wrote the entry of %s", b.ID)
	}
	for range clients {
		<-done
	}
	return s.judgeEntry(backends, clients, prefixes), nil
}

// judgeEntry counts the requests that ran at a service to which no route allows
// them to go.
func (s *scene) judgeEntry(backends []*backend, clients []*traffic, prefixes map[string]string) (broken bool) {
	paths := make(map[string]*call)
	for _, t := range clients {
		for _, l := range t.all() {
			paths[l.ID] = l
		}
	}
	wrong, answered, total := 0, 0, 0
	for _, b := range backends {
		first, last := time.Time{}, time.Time{}
		here := 0
		for _, r := range b.runsOf() {
			l := paths[r.id]
			if l == nil || !r.started {
				continue
			}
			total++
			if strings.HasPrefix(l.Path, prefixes[b.Service]) {
				continue
			}
			here++
			if first.IsZero() {
				first = r.arrived
			}
			last = r.arrived
			if l.Err == nil && l.Status == http.StatusOK {
				answered++
				s.rec.printf("wrong service: %s %s %s ran at %s of %s, and the client got its answer with the proof %q",
					l.ID, l.Method, l.Path, b.ID, b.Service, l.Header.Get("X-Server-Stamp"))
			}
		}
		if here > 0 {
			s.rec.conclude("backend %s of %s: ran %d requests of a route to another service, from %.3f to %.3f",
				b.ID, b.Service, here, s.rec.at(first), s.rec.at(last))
		}
		wrong += here
	}
	s.rec.conclude("%d of %d requests ran at a service to which no configuration allows them to go; %d clients got such an answer",
		wrong, total, answered)
	return wrong > 0
}
