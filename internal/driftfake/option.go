package driftfake

import (
	"math/rand/v2"
	"time"
)

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithSlots sets how many requests run concurrently.
func WithSlots(slots int) UpstreamOption { return func(u *Upstream) { u.slots = slots } }

// WithServiceTime sets the mean service time of a request. The times vary around
// it by up to jitter, a fraction of the mean between 0 and 1.
func WithServiceTime(mean time.Duration, jitter float64) UpstreamOption {
	return func(u *Upstream) { u.serviceTime, u.jitter = mean, jitter }
}

// WithOpening sets the time that opening a connection takes and the maximum
// number of connections.
func WithOpening(cost time.Duration, conns int) UpstreamOption {
	return func(u *Upstream) { u.connectionCost, u.maxConns = cost, conns }
}

// WithCold sets how many requests a cold upstream can have in flight without
// overload, and after how many replies it is warm.
func WithCold(coldLimit, warmupReplies int) UpstreamOption {
	return func(u *Upstream) { u.coldLimit, u.warmupReplies = coldLimit, warmupReplies }
}

// WithVersions sets the index versions that are served.
func WithVersions(numbers ...uint64) UpstreamOption {
	return func(u *Upstream) { u.versions = numbers }
}

// WithRunCounter sets the counter of runs, which upstreams may share.
func WithRunCounter(runCounter *RunCounter) UpstreamOption {
	return func(u *Upstream) { u.runCounter = runCounter }
}

// WithDetached makes requests run to their end even if the client cancels them.
func WithDetached() UpstreamOption { return func(u *Upstream) { u.detached = true } }

// WithSeed seeds the random service times.
func WithSeed(seed uint64) UpstreamOption {
	return func(u *Upstream) { u.random = rand.New(rand.NewPCG(seed, seed)) }
}
