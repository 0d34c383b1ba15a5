// Package driftshare divides limits of the whole fleet among its VMs: budgets of
// extra attempts, connections to an upstream and requests to a cold upstream.
//
// A rate over a window is divided by a Ledger. Each VM owns an equal part of
// the limit, and a VM with load borrows the parts of VMs without. The lender
// gives its part up before it answers, and takes it back only when nothing that
// was spent under the loan counts any more; the borrower counts the lifetime
// from when it asked. The parts in use therefore never add up to more than the
// limit, whichever messages are lost, late or doubled, and whichever VMs die,
// restart, pause or lose each other.
//
// A number of units, such as connections, is divided by Units.
//
// # Usage
//
//	ledger := driftshare.NewLedger(rule.Window)
//	ledger.SetVMs(195)
//	send("vm-7", ledger.Ask("vm-7"))
//
//	loan, ok := ledger.Lend(request, spent) // at vm-7
//
//	ledger.Accept("vm-7", loan)
//	limit := fixed * ledger.Part()
package driftshare

import (
	"sync"
	"time"
)

// Times of loans.
const (
	// LoanLifetime is how long a loan may be spent after it was asked for.
	// Borrowers ask about once a second.
	LoanLifetime = 3 * time.Second
	// bucketSlack covers the resolution at which spending is counted.
	bucketSlack = time.Second
)

// Request asks another VM for a loan.
type Request struct {
	// Borrower identifies a run of the asking process. A later run cannot renew
	// the loans of an earlier one, which it may have spent.
	Borrower string
	// Number grows with each request of a borrower.
	Number uint64
}

// Loan gives the borrower a part of all limits for LoanLifetime.
type Loan struct {
	// Number is that of the request.
	Number uint64
	// Part is the fraction of each limit.
	Part float64
}

// Ledger holds the part of the fleet's limits that one VM may use. It is safe
// for concurrent use.
type Ledger struct {
	clock    func() time.Duration
	window   time.Duration
	borrower string

	mu sync.Mutex
	// heldUntil ends the time after a start in which the VM's own part is not used:
	// an earlier incarnation may have spent or lent it.
	heldUntil time.Duration
	vms       int
	number    uint64
	lent      lentPart
	// asked and borrowed hold the last request and the loan, by lender.
	asked    map[string]askedLoan
	borrowed map[string]borrowedPart
}

// lentPart is the part that this VM has lent.
type lentPart struct {
	borrower string
	part     float64
	// settledAt is when nothing spent under the loan counts any more.
	settledAt time.Duration
}

// askedLoan is a request that this VM has sent.
type askedLoan struct {
	number uint64
	at     time.Duration
}

// borrowedPart is a loan that this VM holds.
type borrowedPart struct {
	part  float64
	endAt time.Duration
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithClock sets the clock, which must advance while the VM is suspended.
func WithClock(clock func() time.Duration) LedgerOption {
	return func(l *Ledger) { l.clock = clock }
}

// WithFirstStart makes the VM use its own part after one window: no earlier
// incarnation can have lent it.
func WithFirstStart() LedgerOption {
	return func(l *Ledger) { l.heldUntil = l.window }
}

// NewLedger returns the ledger of a VM that has just started, for limits that
// apply to any window of the given length. The borrower identifies the VM and
// this run of its process.
func NewLedger(borrower string, window time.Duration, opts ...LedgerOption) *Ledger {
	l := &Ledger{
		clock: bootTime, window: window, borrower: borrower, vms: 1,
		asked: make(map[string]askedLoan), borrowed: make(map[string]borrowedPart),
	}
	l.heldUntil = l.settleTime()
	for _, opt := range opts {
		opt(l)
	}
	l.heldUntil += l.clock()
	return l
}

// settleTime is how long after a loan was granted its spending may still count.
func (l *Ledger) settleTime() time.Duration {
	return LoanLifetime + l.window + bucketSlack
}

// SetVMs sets the number of VMs that own an equal part.
func (l *Ledger) SetVMs(vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = max(1, vms)
}

// Part returns the fraction of each limit that this VM may use now.
func (l *Ledger) Part() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	part := l.own(now)
	for lender, b := range l.borrowed {
		if now >= b.endAt {
			delete(l.borrowed, lender)
			continue
		}
		part += b.part
	}
	return part
}

// own returns the part that this VM owns and has not lent. The caller holds the
// lock.
func (l *Ledger) own(now time.Duration) float64 {
	if now < l.heldUntil {
		return 0
	}
	part := 1 / float64(l.vms)
	if now < l.lent.settledAt {
		part -= l.lent.part
	}
	return max(0, part)
}

// Ask returns a request for a loan from the lender.
func (l *Ledger) Ask(lender string) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	l.asked[lender] = askedLoan{number: l.number, at: l.clock()}
	return Request{Borrower: l.borrower, Number: l.number}
}

// minLoan is the smallest fraction of a VM's part that is lent.
const minLoan = 0.5

// Lend grants what is left of this VM's own part, or renews the loan that the
// borrower has. Spent is the fraction of the limit that this VM has spent in
// the last window. Nothing is granted while the loan of another borrower is not
// settled.
func (l *Ledger) Lend(r Request, spent float64) (loan Loan, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	outstanding := now < l.lent.settledAt
	if now < l.heldUntil || (outstanding && l.lent.borrower != r.Borrower) {
		return Loan{}, false
	}
	whole := 1 / float64(l.vms)
	part := whole - spent
	if part < minLoan*whole {
		return Loan{}, false
	}
	if outstanding {
		l.lent.part = max(l.lent.part, part)
	} else {
		l.lent = lentPart{borrower: r.Borrower, part: part}
	}
	l.lent.settledAt = now + l.settleTime()
	return Loan{Number: r.Number, Part: part}, true
}

// Accept records the loan that a lender has granted. It has no effect unless it
// answers the last request to that lender.
func (l *Ledger) Accept(lender string, loan Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, ok := l.asked[lender]
	if !ok || asked.number != loan.Number {
		return
	}
	delete(l.asked, lender)
	l.borrowed[lender] = borrowedPart{part: loan.Part, endAt: asked.at + LoanLifetime}
}
