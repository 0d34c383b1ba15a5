package driftrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// leavingRuleTime is the published time after which no request may reach an upstream
// that has said in a reply that it leaves.
const leavingRuleTime = 3 * time.Second

// newsFleet is a fleet of VMs whose clients use all of them in turn.
type newsFleet struct {
	*simulation
	route  driftroute.Route
	relays []*Relay
	ended  []*Relay
	// gossipDelay is how long a sign takes to the other VMs, 0 if it never arrives.
	gossipDelay time.Duration
	starts      int

	mu     sync.Mutex
	sentAt map[string]time.Time
	served int
}

func newNewsFleet(vms int, gossipDelay time.Duration, route driftroute.Route) *newsFleet {
	f := &newsFleet{
		simulation: newSimulation(3, 8, 20*time.Millisecond, route), gossipDelay: gossipDelay, sentAt: make(map[string]time.Time),
	}
	f.route = f.view.Table.Config.Routes[0]
	f.relays = make([]*Relay, vms)
	for i := range vms {
		f.start(i)
	}
	return f
}

// start starts a VM, in place of one that ends.
func (f *newsFleet) start(i int) {
	if f.relays[i] != nil {
		f.ended = append(f.ended, f.relays[i])
	}
	f.starts++
	caller := fmt.Sprintf("vm-%d run %d", i, f.starts)
	var others []VM
	for j := range f.relays {
		if j != i {
			others = append(others, VM{Name: fmt.Sprintf("vm-%d", j), Domain: fmt.Sprintf("domain-%d", j%testDomains), Entry: true})
		}
	}
	r := New(VM{Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("domain-%d", i%testDomains)}, testHeaders,
		WithDialer(func(ctx context.Context, address string) (net.Conn, error) { return f.dialAs(ctx, caller, address) }),
		WithLeavingReport(f.passOn))
	r.SetVMs(true, others)
	r.UpdateView(f.view)
	f.relays[i] = r
}

// passOn passes a sign on as the gossip does.
func (f *newsFleet) passOn(sign LeavingSign) {
	if f.gossipDelay == 0 {
		return
	}
	relays := append([]*Relay(nil), f.relays...)
	time.AfterFunc(f.gossipDelay, func() {
		for _, r := range relays {
			r.MarkLeaving(sign)
		}
	})
}

// run sends queries to all VMs in turn, with changes at their times.
func (f *newsFleet) run(day time.Duration, changes map[time.Duration]func()) (total int) {
	start := time.Now()
	var group sync.WaitGroup
	for time.Since(start) < day {
		for at, change := range changes {
			if time.Since(start) >= at {
				change()
				delete(changes, at)
			}
		}
		id := fmt.Sprintf("q%d", total)
		relay := f.relays[total%len(f.relays)]
		total++
		f.mu.Lock()
		f.sentAt[id] = time.Now()
		f.mu.Unlock()
		group.Go(func() {
			begin := time.Now()
			a := relay.Serve(context.Background(), &driftexchange.Request{
				ID: id, Method: http.MethodGet, Target: f.route.Prefix, Host: f.route.Host,
			}, f.route.Prefix, begin, 0)
			f.mu.Lock()
			defer f.mu.Unlock()
			if a.Status == http.StatusOK && time.Since(begin) <= f.route.LatencyObjective {
				f.served++
			}
		})
		time.Sleep(queryGap)
	}
	group.Wait()
	return total
}

// publish gives all VMs a view.
func (f *newsFleet) publish(v View) {
	for _, r := range f.relays {
		r.UpdateView(v)
	}
}

// tick drops at all VMs the upstreams that are gone.
func (f *newsFleet) tick() {
	for _, r := range f.relays {
		r.Tick()
	}
}

func (f *newsFleet) close() {
	for _, r := range append(f.ended, f.relays...) {
		closeAll(r)
	}
}

// assertDrained checks that no request that was sent later than leavingRuleTime after a
// VM had an answer with the sign reached the upstream from that VM.
func (f *newsFleet) assertDrained(t *testing.T, s *fakeUpstream) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, q := range s.received {
		if signed, ok := s.signed[q.caller]; ok && f.sentAt[q.id].After(signed.Add(leavingRuleTime)) {
			late++
		}
	}
	assert.Zero(t, late, "requests to %s, which %d VMs knew to be leaving", s.name, len(s.signed))
}

// withoutUpstream returns the view without an upstream.
func withoutUpstream(v View, id string) View {
	shown := v
	shown.Upstreams = nil
	for _, u := range v.Upstreams {
		if u.ID != id {
			shown.Upstreams = append(shown.Upstreams, u)
		}
	}
	return shown
}

// TestLeavingInRepliesWasIgnored guards against sending requests to an upstream that
// says in its replies that it leaves, while its published state does not.
func TestLeavingInRepliesWasIgnored(t *testing.T) {
	for _, c := range []struct {
		name        string
		gossipDelay time.Duration
		leaving     int
		// goneAt is when the entry of the upstream is gone, and backAt when it is back
		// as it was.
		goneAt, backAt, restartAt time.Duration
	}{
		{name: "one, no gossip", leaving: 1},
		{name: "one of each shard in the same second", leaving: 3, gossipDelay: 300 * time.Millisecond},
		{name: "VMs restart", leaving: 2, gossipDelay: 300 * time.Millisecond, restartAt: 5 * time.Second},
		{name: "entry expires and is back", leaving: 1, gossipDelay: 300 * time.Millisecond, goneAt: 4 * time.Second, backAt: 8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newNewsFleet(8, c.gossipDelay, sweep())
				var leaving []*fakeUpstream
				f.forEachUpstream(func(i int, s *fakeUpstream) {
					if i%testDomains == 0 && len(leaving) < c.leaving {
						s.leavingFrom = time.Now().Add(3*time.Second + time.Duration(i)*100*time.Millisecond)
						leaving = append(leaving, s)
					}
				})
				changes := map[time.Duration]func(){}
				if c.backAt > 0 {
					changes[c.goneAt] = func() { f.publish(withoutUpstream(f.view, leaving[0].name)) }
					changes[c.goneAt+publishedGraces.removed+time.Second] = f.tick
					changes[c.backAt] = func() { f.publish(f.view) }
				}
				if c.restartAt > 0 {
					changes[c.restartAt] = func() { f.start(0); f.start(1) }
				}
				total := f.run(14*time.Second, changes)
				t.Logf("%d of %d in time", f.served, total)
				for _, s := range leaving {
					f.assertDrained(t, s)
				}
				f.close()
			})
		})
	}
}

// assertLeaving checks whether the relay takes the upstream to be leaving.
func assertLeaving(t *testing.T, r *Relay, id string, leaving bool, why string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, leaving, !r.upstreams[id].leavingAt.IsZero(), why)
}

// TestLeavingOutlivedItsIncarnation guards against losing the sign while the published
// state lacks it, and against applying it to a later start of the upstream.
func TestLeavingOutlivedItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 4, time.Millisecond, rush())
		r := w.relay()
		u := w.view.Upstreams[0]
		publish := func(change func(*Upstream)) {
			time.Sleep(100 * time.Millisecond)
			change(&u)
			w.view.Upstreams[0] = u
			r.UpdateView(w.view)
		}
		publish(func(u *Upstream) { u.Incarnation = 7 })
		assert.False(t, r.MarkLeaving(LeavingSign{Upstream: u.ID, Incarnation: 6}), "of an earlier incarnation")
		assertLeaving(t, r, u.ID, false, "an earlier incarnation left")
		assert.True(t, r.MarkLeaving(LeavingSign{Upstream: u.ID, Incarnation: 7}))
		assert.False(t, r.MarkLeaving(LeavingSign{Upstream: u.ID, Incarnation: 7}), "known, not passed on again")
		publish(func(u *Upstream) { u.Slots++ })
		assertLeaving(t, r, u.ID, true, "the published state does not say so yet")
		publish(func(u *Upstream) { u.Leaving = true })
		publish(func(u *Upstream) { u.Leaving = false })
		assertLeaving(t, r, u.ID, false, "taken back")
		assert.False(t, r.MarkLeaving(LeavingSign{Upstream: u.ID, Incarnation: 7}), "late news")
		assertLeaving(t, r, u.ID, false, "late news")
		assert.True(t, r.MarkLeaving(LeavingSign{Upstream: u.ID, Incarnation: 9}), "news before the published state")
		publish(func(u *Upstream) { u.Incarnation = 8 })
		assertLeaving(t, r, u.ID, false, "another incarnation left")
		publish(func(u *Upstream) { u.Incarnation = 9 })
		assertLeaving(t, r, u.ID, true, "it had left before it was published")
		publish(func(u *Upstream) { u.Incarnation = 10 })
		assertLeaving(t, r, u.ID, false, "restarted")
	})
}

// TestLeavingOfAnotherSender guards against applying the sign to another than its
// sender.
func TestLeavingOfAnotherSender(t *testing.T) {
	header := http.Header{testHeaders.Leaving: {"1"}}
	refused := driftexchange.NotRun{Refused: true, Header: header, Err: driftexchange.ErrRefused}
	misdirected := refused
	misdirected.Misdirected = true
	for _, c := range []struct {
		name    string
		service string
		result  driftexchange.Result
		leaving bool
	}{
		{"an answer of another VM", forwardService, driftexchange.Done{Reply: driftexchange.Reply{Status: 200, Header: header}}, false},
		{"an answer at an address that was reused", "shard-0", misdirected, false},
		{"a refusal", "shard-0", refused, true},
		{"a failure", "shard-0", driftexchange.Done{Reply: driftexchange.Reply{Status: 500, Header: header}}, true},
		{"an invalid answer", "shard-0", driftexchange.Unknown{Header: header, Err: driftexchange.ErrNoSignature}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var told []LeavingSign
			w := newSimulation(1, 1, time.Millisecond, rush())
			r := w.relay(WithLeavingReport(func(sign LeavingSign) { told = append(told, sign) }))
			e := newUpstreamState(Upstream{ID: "u", Service: c.service}, time.Now())
			r.upstreams["u"] = e
			q := &Query{Request: &driftexchange.Request{ID: "q"}, Table: w.view.Table, Route: &w.view.Table.Config.Routes[0], Deadline: time.Now().Add(time.Second)}
			r.finishAttempt(&attempt{upstream: e, started: time.Now()}, q, c.result, func(*attempt, driftexchange.Result) {})
			assertLeaving(t, r, "u", c.leaving, c.name)
			assert.Equal(t, c.leaving, len(told) == 1)
		})
	}
}

// TestQueuedForLeavingUpstream guards against sending a request that waits for its
// connection to an upstream that has said meanwhile that it leaves.
func TestQueuedForLeavingUpstream(t *testing.T) {
	for name, others := range map[string]bool{"others are left": true, "it is the last resort": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const dialTime = 20 * time.Millisecond
				w := newSimulation(1, 4, time.Millisecond, nonIdempotent())
				if !others {
					w.view.Upstreams = w.view.Upstreams[:1]
				}
				r := w.relay(WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
					time.Sleep(dialTime)
					return w.dial(ctx, address)
				}))
				var first string
				time.AfterFunc(dialTime/2, func() {
					r.mu.Lock()
					for id, e := range r.upstreams {
						if len(e.inFlight) > 0 {
							first = id
						}
					}
					r.mu.Unlock()
					r.MarkLeaving(LeavingSign{Upstream: first})
				})
				route := w.view.Table.Config.Routes[0]
				a := r.Serve(t.Context(), &driftexchange.Request{
					ID: "q", Method: http.MethodPost, Target: route.Prefix, Host: route.Host,
				}, route.Prefix, time.Now(), 0)
				assert.Equal(t, http.StatusOK, a.Status)
				received, byFirst := 0, 0
				w.forEachUpstream(func(_ int, s *fakeUpstream) {
					received += len(s.received)
					if s.name == first {
						byFirst = len(s.received)
					}
				})
				assert.Equal(t, 1, received)
				assert.Equal(t, !others, byFirst == 1)
				closeAll(r)
			})
		})
	}
}
