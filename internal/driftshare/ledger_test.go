package driftshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	testWindow = 10 * time.Second
	testLimit  = 430
	// announceDelay is the longest time until VMs know how many there are.
	announceDelay = 5 * time.Second
)

// division is a way of dividing the limit among the VMs of a simulated fleet.
type division interface {
	// exchange makes VM i ask VM j for a loan.
	exchange(i, j int)
	// restart replaces the state of a VM.
	restart(i int)
	// part returns the fraction of the limit that a VM may use.
	part(i int) float64
}

// spender is a VM of a simulated fleet.
type spender struct {
	// counted holds what the VM knows to have spent; a restart empties it.
	counted []time.Duration
	load    int
}

// simulation spends as much as a division allows and observes the sum.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	vms    []spender
	spent  []time.Duration
	most   int
}

func newSimulation(seed uint64, vms int) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, vms: make([]spender, vms)}
}

func (s *simulation) clock() time.Duration { return s.now }

func within(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}

// recent drops the times up to the given one.
func recent(times []time.Duration, from time.Duration) []time.Duration {
	return times[len(times)-within(times, from):]
}

// spend makes VM i spend all that it may.
func (s *simulation) spend(d division, i int) {
	vm := &s.vms[i]
	vm.counted = recent(vm.counted, s.now-testWindow)
	s.spent = recent(s.spent, s.now-testWindow)
	for float64(within(vm.counted, s.now-testWindow)+1) <= testLimit*d.part(i) {
		vm.counted = append(vm.counted, s.now)
		s.spent = append(s.spent, s.now)
	}
	s.most = max(s.most, within(s.spent, s.now-testWindow))
}

// run plays random steps: time passes, the load moves, VMs exchange loans,
// spend, restart, or are cut off in two groups that do not reach each other.
func (s *simulation) run(d division, steps int) {
	cut := 0
	for range steps {
		i, j := s.random.IntN(len(s.vms)), s.random.IntN(len(s.vms))
		switch s.random.IntN(8) {
		case 0, 1:
			s.now += time.Duration(s.random.IntN(2500)) * time.Millisecond
		case 2, 3:
			if i != j && (i < cut) == (j < cut) {
				d.exchange(i, j)
			}
		case 4, 5:
			s.spend(d, i)
		case 6:
			s.vms[i].load = s.random.IntN(20)
		case 7:
			switch s.random.IntN(4) {
			case 0:
				s.vms[i].counted = nil
				d.restart(i)
			case 1:
				cut = s.random.IntN(len(s.vms))
			}
		}
	}
}

// loans divides the limit by ledgers. Messages are lost, late and doubled.
type loans struct {
	*simulation
	ledgers []*Ledger
	runs    int
	// late holds answers that may be delivered once more.
	late []func()
}

func newLoans(s *simulation) *loans {
	l := &loans{simulation: s, ledgers: make([]*Ledger, len(s.vms))}
	for i := range l.ledgers {
		l.restart(i)
	}
	s.now += l.ledgers[0].settleTime()
	return l
}

func (l *loans) restart(i int) {
	l.runs++
	l.ledgers[i] = NewLedger(fmt.Sprintf("vm-%d run %d", i, l.runs), testWindow, WithClock(l.clock))
	l.ledgers[i].SetVMs(len(l.vms))
}

func (l *loans) part(i int) float64 { return l.ledgers[i].Part() }

func (l *loans) exchange(i, j int) {
	request := l.ledgers[i].Ask(fmt.Sprint(j))
	if l.random.IntN(5) == 0 {
		return
	}
	if l.random.IntN(5) == 0 {
		l.now += time.Duration(l.random.IntN(4000)) * time.Millisecond
	}
	spent := float64(within(l.vms[j].counted, l.now-testWindow)) / testLimit
	loan, ok := l.ledgers[j].Lend(request, spent)
	if !ok {
		return
	}
	borrower := l.ledgers[i]
	l.late = append(l.late, func() { borrower.Accept(fmt.Sprint(j), loan) })
	l.late[l.random.IntN(len(l.late))]()
}

// byLoad is the naive division: by the load that each VM last announced.
type byLoad struct{ *simulation }

func (b byLoad) exchange(int, int) {}
func (b byLoad) restart(int)       {}
func (b byLoad) part(i int) float64 {
	total := 0
	for _, vm := range b.vms {
		total += vm.load
	}
	return float64(b.vms[i].load) / float64(max(1, total))
}

// byHeads is the naive division among the VMs that this one reaches.
type byHeads struct {
	*simulation
	reached func() int
}

func (b byHeads) exchange(int, int) {}
func (b byHeads) restart(int)       {}
func (b byHeads) part(int) float64  { return 1 / float64(b.reached()) }

// TestLimitIsNeverPassed checks that the spending of all VMs in any window
// stays within the limit, and that the check notices naive divisions.
func TestLimitIsNeverPassed(t *testing.T) {
	const seeds, vms, steps = 400, 5, 400
	most := func(divide func(*simulation) division) (highest int) {
		for seed := range uint64(seeds) {
			s := newSimulation(seed, vms)
			s.run(divide(s), steps)
			highest = max(highest, s.most)
		}
		return highest
	}
	t.Run("loans", func(t *testing.T) {
		highest := most(func(s *simulation) division { return newLoans(s) })
		assert.LessOrEqual(t, highest, testLimit)
		assert.Greater(t, highest, testLimit*8/10, "loans must make most of the limit usable")
	})
	t.Run("by load at once", func(t *testing.T) {
		assert.Greater(t, most(func(s *simulation) division { return byLoad{s} }), testLimit)
	})
	t.Run("by heads of a partition", func(t *testing.T) {
		assert.Greater(t, most(func(s *simulation) division {
			return byHeads{s, func() int { return 1 + s.random.IntN(vms) }}
		}), testLimit)
	})
}

// TestLoadedFew has 195 VMs of which 15 get all queries, as entry VMs do. They
// must be able to spend most of the limit, and to take over from one another.
func TestLoadedFew(t *testing.T) {
	const vms, entries = 195, 15
	s := newSimulation(1, vms)
	l := newLoans(s)
	round := func(first int) {
		for lender := range vms {
			if lender < first || lender >= first+entries {
				borrower := first + lender%entries
				request := l.ledgers[borrower].Ask(fmt.Sprint(lender))
				spent := float64(within(s.vms[lender].counted, s.now-testWindow)) / testLimit
				if loan, ok := l.ledgers[lender].Lend(request, spent); ok {
					l.ledgers[borrower].Accept(fmt.Sprint(lender), loan)
				}
			}
		}
		for i := first; i < first+entries; i++ {
			s.spend(l, i)
		}
		s.now += time.Second
	}
	t.Run("spend most of the limit", func(t *testing.T) {
		round(0)
		assert.GreaterOrEqual(t, within(s.spent, s.now-testWindow), 350)
	})
	t.Run("after another start, too", func(t *testing.T) {
		for range 3 * int(l.ledgers[0].settleTime()/time.Second) {
			round(60)
		}
		assert.GreaterOrEqual(t, within(s.spent, s.now-testWindow), 350)
	})
	assert.LessOrEqual(t, s.most, testLimit)
}

// TestNewVMs adds VMs while the others do not know of them yet.
func TestNewVMs(t *testing.T) {
	s := newSimulation(1, 8)
	l := newLoans(s)
	for i := range s.vms {
		s.spend(l, i)
	}
	for range 8 {
		s.vms = append(s.vms, spender{})
		l.ledgers = append(l.ledgers, nil)
		l.restart(len(l.ledgers) - 1)
	}
	for elapsed := time.Duration(0); elapsed < 40*time.Second; elapsed += 500 * time.Millisecond {
		s.now += 500 * time.Millisecond
		for i, ledger := range l.ledgers {
			if elapsed >= announceDelay {
				ledger.SetVMs(len(s.vms))
			}
			s.spend(l, i)
		}
	}
	assert.LessOrEqual(t, s.most, testLimit)
	assert.Equal(t, testLimit/16, within(s.vms[15].counted, s.now-testWindow))
}

func TestLend(t *testing.T) {
	s := newSimulation(1, 2)
	l := newLoans(s)
	lender := l.ledgers[1]
	first := Request{Borrower: "first", Number: 1}
	t.Run("not while much of it is spent", func(t *testing.T) {
		_, ok := lender.Lend(first, 0.4)
		assert.False(t, ok)
	})
	t.Run("what is left", func(t *testing.T) {
		loan, ok := lender.Lend(first, 0.1)
		assert.True(t, ok)
		assert.InDelta(t, 0.4, loan.Part, 1e-9)
		assert.InDelta(t, 0.1, lender.Part(), 1e-9)
	})
	t.Run("to another only once it is settled", func(t *testing.T) {
		_, ok := lender.Lend(Request{Borrower: "second"}, 0)
		assert.False(t, ok)
		s.now += lender.settleTime()
		_, ok = lender.Lend(Request{Borrower: "second"}, 0)
		assert.True(t, ok)
	})
	t.Run("not after a restart", func(t *testing.T) {
		l.restart(1)
		_, ok := l.ledgers[1].Lend(first, 0)
		assert.False(t, ok)
		assert.Zero(t, l.ledgers[1].Part())
	})
}

func TestAccept(t *testing.T) {
	s := newSimulation(1, 2)
	l := newLoans(s)
	borrower := l.ledgers[0]
	own := borrower.Part()
	request := borrower.Ask("1")
	t.Run("not an unknown number", func(t *testing.T) {
		borrower.Accept("1", Loan{Number: request.Number + 1, Part: 0.5})
		assert.InDelta(t, own, borrower.Part(), 1e-9)
	})
	t.Run("counted from the request", func(t *testing.T) {
		s.now += 2 * time.Second
		borrower.Accept("1", Loan{Number: request.Number, Part: 0.5})
		assert.InDelta(t, own+0.5, borrower.Part(), 1e-9)
		s.now += LoanLifetime - 2*time.Second
		assert.InDelta(t, own, borrower.Part(), 1e-9)
	})
}
