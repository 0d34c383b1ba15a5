package driftfake

import (
	"math/rand/v2"
	"time"
)

// UpstreamOption changes an Upstream that NewUpstream makes.
type UpstreamOption func(*Upstream)

// WithSlots sets how many requests run at a time.
func WithSlots(slots int) UpstreamOption { return func(u *Upstream) { u.slots = slots } }

// WithServiceTime sets the mean time of a request and its spread, a share of
// the mean between 0 and 1.
func WithServiceTime(mean time.Duration, jitter float64) UpstreamOption {
	return func(u *Upstream) { u.serviceTime, u.jitter = mean, jitter }
}

// WithOpening sets the cost of a new connection and the number allowed.
func WithOpening(cost time.Duration, conns int) UpstreamOption {
	return func(u *Upstream) { u.openingCost, u.maxConns = cost, conns }
}

// WithCold sets how many requests a cold upstream bears at a time and after
// how many served it is warm.
func WithCold(bears, warmup int) UpstreamOption {
	return func(u *Upstream) { u.coldLimit, u.warmupReplies = bears, warmup }
}

// WithVersions sets the index versions that are served.
func WithVersions(numbers ...uint64) UpstreamOption {
	return func(u *Upstream) { u.versions = numbers }
}

// WithRunCounter sets the ledger that counts the runs.
func WithRunCounter(ledger *RunCounter) UpstreamOption {
	return func(u *Upstream) { u.runCounter = ledger }
}

// WithDetached lets a request that its client has given up run to its end.
func WithDetached() UpstreamOption { return func(u *Upstream) { u.detached = true } }

// WithSeed sets the seed of the spread of service times.
func WithSeed(seed uint64) UpstreamOption {
	return func(u *Upstream) { u.random = rand.New(rand.NewPCG(seed, seed)) }
}
