package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"review2/bed"
)

func init() { cases[9] = uncountedHeads }

const (
	// headConns is how many connections are opened to one machine at most. It keeps
	// 2,340 for clients.
	headConns = 1500
	// headBytes is a little less than maxHeaderBytes.
	headBytes = 16300
)

// uncountedHeads plays clients that ask for the options of the server, and then send a
// head that is within the limits but doesn't end. Three times, at two machines.
func uncountedHeads(b *bed.Bed, trouble bool) (verdict, error) {
	if err := deploy(b, 3, 6, bed.BackendSpec{Service: service, Slots: 4, Work: 20 * time.Millisecond, Wait: 100 * time.Millisecond, Body: bodyOf(1500)}); err != nil {
		return verdict{}, err
	}
	ordinary := startCallers(b, 4, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	// The same connections and heads without the request for options are held: the
	// comparison is part of both runs.
	opened := openHeads(b.Machines[2], false)
	peak, killed := b.Machines[2].Memory()
	b.Record.Say("without OPTIONS *: %d connections to %s, which had %d MB at most", opened, b.Machines[2].Name, peak)
	if killed > 0 {
		return verdict{}, fmt.Errorf("the comparison has ended a process")
	}
	for round := 1; round <= 3 && trouble; round++ {
		var group sync.WaitGroup
		for _, m := range b.Machines[:2] {
			group.Add(1)
			go func() {
				defer group.Done()
				opened := openHeads(m, true)
				peak, killed := m.Memory()
				b.Record.Say("round %d, with OPTIONS *: %d connections to %s, which had %d MB at most; %d processes killed so far", round, opened, m.Name, peak, killed)
			}()
		}
		group.Wait()
		time.Sleep(time.Second)
		if err := b.AwaitReady(host, len(b.Machines)); err != nil {
			return verdict{}, err
		}
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

// openHeads opens connections to a machine, sends the head without its end on each, and
// holds them for 2 s after the last. It stops when a process of the machine was killed.
func openHeads(m *bed.Machine, options bool) (opened int) {
	var head bytes.Buffer
	head.WriteString("GET / HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := 0; head.Len() < headBytes; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	_, before := m.Memory()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range headConns / 16 {
				_, killed := m.Memory()
				if killed > before || ctx.Err() != nil {
					return
				}
				conn, err := net.DialTimeout("tcp4", m.Front(), time.Second)
				if err != nil {
					continue
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				if options {
					_, _ = conn.Write([]byte("OPTIONS * HTTP/1.1\r\nHost: " + host + "\r\n\r\n"))
					if _, err := conn.Read(make([]byte, 1024)); err != nil {
						continue
					}
				}
				if _, err := conn.Write(head.Bytes()); err == nil {
					mu.Lock()
					opened++
					mu.Unlock()
				}
			}
			select {
			case <-time.After(2 * time.Second):
			case <-ctx.Done():
			}
		}()
	}
	group.Wait()
	return opened
}
