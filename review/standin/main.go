// Command standin plays the scripted cases of the review: it starts VMs of the
// product with the command of the deploy file, and clients, backends and the
// platform's store as stand-ins, all on loopback addresses. It exits with 1 if
// the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scene is what every case starts with.
type scene struct {
	rec     *record
	fleet   *fleet
	store   *store
	trouble bool
}

// cases are the scripted cases by name; the file of each adds it. They return
// whether the rule was broken.
var cases = map[string]func(*scene) (broken bool, err error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "standin")
	if err != nil {
		rec.conclude("no temporary folder: %v", err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	s := &scene{rec: rec, store: newStore(rec), trouble: os.Getenv("TROUBLE") != "0"}
	if s.fleet, err = newFleet(rec, program, folder); err != nil {
		rec.conclude("could not run: %v", err)
		return exitFailed
	}
	rec.printf("case %s, disruption: %v", os.Args[1], s.trouble)
	limit := time.AfterFunc(110*time.Second, func() {
		rec.conclude("could not run: still running after 110 s")
		s.fleet.end()
		os.Exit(exitFailed)
	})
	defer limit.Stop()
	broken, err := s.play(cases[os.Args[1]])
	switch {
	case err != nil:
		rec.conclude("could not run: %v", err)
		return exitFailed
	case broken:
		rec.conclude("the rule was broken")
		return exitBroken
	}
	rec.conclude("the rule held")
	return exitHeld
}

func (s *scene) play(play func(*scene) (bool, error)) (broken bool, err error) {
	defer s.fleet.end()
	server, err := s.store.serve(s.fleet.storeAddr)
	if err != nil {
		return false, err
	}
	defer func() { _ = server.Close() }()
	return play(s)
}

// route is a route as the operator writes it.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
}

// service is a service as the operator writes it.
type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdS      float64 `json:"coldS"`
	ColdPerS   float64 `json:"coldPerS"`
}

// putConfig writes a configuration.
func (s *scene) putConfig(version int, routes []route, services []service) {
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
}

// backendAddress returns the address of the n-th backend.
func (s *scene) backendAddress(n int) string {
	return fmt.Sprintf("%s.%d:%d", s.fleet.network, 100+n, s.fleet.ports.ready+10)
}

// startVMs starts one VM in each zone, all of them seeds, and waits for them.
func (s *scene) startVMs() error {
	for i, zone := range zones {
		s.fleet.add(i+1, zone)
	}
	for _, m := range s.fleet.vms {
		for _, other := range s.fleet.vms {
			m.seeds = append(m.seeds, other.control())
		}
	}
	for _, m := range s.fleet.vms {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return awaitReady(s.fleet.vms...)
}
