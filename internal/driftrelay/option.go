package driftrelay

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// Option configures a Relay.
type Option func(*Relay)

// WithBudget sets the rule that limits extra attempts.
func WithBudget(rule BudgetRule) Option {
	return func(r *Relay) { r.rule = rule }
}

// WithLedger sets the ledger of this VM's part of the fleet's limits. By default
// the VM owns them whole.
func WithLedger(ledger *driftshare.Ledger) Option {
	return func(r *Relay) { r.ledger = ledger }
}

// WithChecks sets the recorder of events and the checker of invariants.
func WithChecks(events driftevent.Recorder, checker *driftcheck.Checker) Option {
	return func(r *Relay) { r.events, r.checker = events, checker }
}

// WithMetrics sets the metrics that the relay updates.
func WithMetrics(m *Metrics) Option {
	return func(r *Relay) { r.metrics = m }
}

// WithLimiter sets what keeps client accounts within their limits. By default
// there are none.
func WithLimiter(limiter driftaccount.Limiter) Option {
	return func(r *Relay) { r.limiter = limiter }
}

// WithDialer sets how connections are opened. The default is TCP.
func WithDialer(dialer driftexchange.Dialer) Option {
	return func(r *Relay) { r.dialer = dialer }
}

// WithMemory bounds the bytes of the replies that the relay holds. By default
// there is no bound.
func WithMemory(m *driftexchange.Memory) Option {
	return func(r *Relay) { r.memory = m }
}

// WithSuspectReport sets the function that reports to other VMs that an
// upstream does not answer, and for how long it is to be suspected.
func WithSuspectReport(report func(upstream string, duration time.Duration)) Option {
	return func(r *Relay) { r.reportSuspect = report }
}

// WithViewAge sets the function that returns how long ago the platform
// confirmed the view.
func WithViewAge(age func() time.Duration) Option {
	return func(r *Relay) { r.viewAge = age }
}
