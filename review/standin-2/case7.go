package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review2/bed"
)

func init() { cases[7] = unreadAnswers }

const (
	// crowdConns is a little more than the connections that a machine of 284 MB and
	// 4,100 descriptors keeps for clients.
	crowdConns = 2500
	// crowdWorkers open the connections of the crowd at one machine.
	crowdWorkers = 48
	// crowdSegment is the segment size that the crowd asks for. It keeps what the system
	// buffers for a connection as small as over a link, where it is 1,460; that of a
	// loopback address is 65,483.
	crowdSegment = 1460
	// crowdReceive is what the crowd lets the system hold of the answers.
	crowdReceive = 4096
	// crowdTime is for how long the crowd opens connections and sends requests at most.
	crowdTime = 60 * time.Second
	// judged is how long the traffic of the ordinary clients lasts after that. It is longer
	// than an idle connection and a head may take together, 15 s and 3 s.
	judged = 25 * time.Second
	span   = 5 * time.Second
)

// unreadAnswers plays clients that send requests and don't read the answers.
func unreadAnswers(b *bed.Bed, trouble bool) (verdict, error) {
	if err := deploy(b, 2, 6, bed.BackendSpec{Service: service, Slots: 4, Work: 20 * time.Millisecond, Wait: 100 * time.Millisecond, Body: bodyOf(1500)}); err != nil {
		return verdict{}, err
	}
	var held, opened, closed atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	quiet := make(chan struct{})
	var workers sync.WaitGroup
	if trouble {
		for _, m := range b.Machines {
			for range crowdWorkers {
				workers.Add(1)
				go func() {
					defer workers.Done()
					crowd(ctx, quiet, m.Front(), crowdConns/crowdWorkers+1, &held, &opened, &closed)
				}()
			}
		}
	}
	if trouble {
		awaitCrowd(b, &held, &opened, &closed)
	}
	close(quiet)
	// All traffic of ordinary clients comes after that.
	watch := newWatch(b)
	var asked, served int64
	alwaysReady := true
	for i := range int(judged / span) {
		time.Sleep(span)
		a, s := watch.take()
		asked, served = asked+a, served+s
		ready := 0
		for _, m := range b.Machines {
			if m.Ready() {
				ready++
			}
		}
		alwaysReady = alwaysReady && ready == len(b.Machines)
		b.Record.Say("%2d to %2d s of traffic: ordinary clients asked %d, served %d; the quiet crowd holds %d connections; %d of %d machines say they are ready",
			i*5, i*5+5, a, s, held.Load(), ready, len(b.Machines))
	}
	cancel()
	watch.end()
	workers.Wait()
	text := fmt.Sprintf("in %d s of traffic, while the crowd was quiet, ordinary clients asked %d times and were served %d times; all machines said all the while that they were ready: %t",
		int(judged.Seconds()), asked, served, alwaysReady)
	for _, m := range b.Machines {
		peak, killed := m.Memory()
		text += fmt.Sprintf("; %s had %d MB at most, %d ends", m.Name, peak, killed)
	}
	return verdict{broken: asked > 0 && served == 0 && alwaysReady, reason: text}, nil
}

// awaitCrowd waits until the crowd holds as many connections as the machines keep: until
// more are closed while their number has not changed for two spans.
func awaitCrowd(b *bed.Bed, held, opened, closed *atomic.Int64) {
	steady := 0
	for start := time.Now(); steady < 2 && time.Since(start) < crowdTime; {
		heldBefore, closedBefore := held.Load(), closed.Load()
		time.Sleep(span)
		steady++
		if change := held.Load() - heldBefore; change < -20 || change > 20 || closed.Load()-closedBefore < 100 {
			steady = 0
		}
		b.Record.Say("%2.0f s: the crowd holds %d connections, opened %d, %d were closed", time.Since(start).Seconds(), held.Load(), opened.Load(), closed.Load())
	}
	b.Record.Say("from now on the crowd opens no connection and sends nothing")
}

// crowd keeps connections open on which requests were sent and no answer is read. From
// quiet on it only holds them.
func crowd(ctx context.Context, quiet <-chan struct{}, address string, count int, held, opened, closed *atomic.Int64) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdReceive)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, crowdSegment)
		})
	}}
	conns := make([]net.Conn, count)
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}()
	requests := bytes.Repeat([]byte("GET /none/ HTTP/1.1\r\nHost: "+host+"\r\n\r\n"), 64)
	for !ended(ctx, quiet) {
		for i := range conns {
			if ended(ctx, quiet) {
				break
			}
			if conns[i] == nil {
				c, err := dialer.Dial("tcp4", address)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				conns[i] = c
				opened.Add(1)
				held.Add(1)
			}
			// More requests, until none is read for a while.
			for err := error(nil); err == nil; {
				_ = conns[i].SetWriteDeadline(time.Now().Add(30 * time.Millisecond))
				if _, err = conns[i].Write(requests); err == nil {
					continue
				}
				if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
					_ = conns[i].Close()
					conns[i] = nil
					held.Add(-1)
					closed.Add(1)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	<-ctx.Done()
}

func ended(ctx context.Context, quiet <-chan struct{}) bool {
	select {
	case <-quiet:
		return true
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// watch counts the requests of ordinary clients, which ask the directories where to
// connect and try another address, on a new connection, if they get no answer.
type watch struct {
	bed           *bed.Bed
	group         sync.WaitGroup
	stop          chan struct{}
	asked, served atomic.Int64
}

func newWatch(b *bed.Bed) *watch {
	w := &watch{bed: b, stop: make(chan struct{})}
	var addresses []string
	for _, m := range b.Machines {
		addresses = append(addresses, m.Front())
	}
	for i := range 8 {
		w.group.Add(1)
		go w.run(i, addresses)
	}
	return w
}

func (w *watch) run(number int, addresses []string) {
	defer w.group.Done()
	client := &bed.Client{Address: addresses[number%len(addresses)]}
	defer client.Close()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.asked.Add(1)
		for attempt := range 3 {
			o := client.Do(bed.Request{Method: http.MethodGet, Host: host, Path: lookupPath + "2f", Wait: 4 * time.Second})
			w.bed.Record.Log("client %d at %s, attempt %d: %s, kept connection=%t: %s, ran %d times", number, client.Address, attempt+1, o.ID, o.Kept, o, w.bed.Runs(o.ID))
			if o.Status == http.StatusOK {
				w.served.Add(1)
				break
			}
			client.Close()
			number++
			client.Address = addresses[number%len(addresses)]
		}
	}
}

// take returns the counts since the last call.
func (w *watch) take() (asked, served int64) { return w.asked.Swap(0), w.served.Swap(0) }

func (w *watch) end() {
	close(w.stop)
	w.group.Wait()
}
