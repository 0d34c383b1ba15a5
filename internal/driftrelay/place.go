package driftrelay

import (
	"math"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdomain"
	"github.com/almonddrift/almonddrift/internal/driftspeed"
)

// Candidate describes an upstream that a request may be sent to.
type Candidate struct {
	// TypicalTime is how long a request of the class usually takes at an
	// upstream.
	TypicalTime time.Duration
	// Slowdown is the factor by which this upstream takes longer than that.
	Slowdown float64
	Slots    int
	// Backlog is how many requests the upstream is expected to have, and Deviation the
	// standard deviation of that number.
	Backlog, Deviation float64
	// Stalled is how much longer than expected the oldest request in flight has
	// been waiting.
	Stalled time.Duration
	// Suspected is how much longer the suspicion reported by another VM lasts.
	Suspected time.Duration
	// FailureRate is the share of recent requests that failed.
	FailureRate float64
	// RefusalRate is the share of recent requests that were refused at once.
	RefusalRate float64
	// Repeatable is set if the request may go again to an upstream where it has failed.
	Repeatable bool
	// LastAttempt is set if no other upstream may be tried after this one.
	LastAttempt bool
	// LatencyObjective is the latency objective of the class.
	LatencyObjective time.Duration
	// NeedsDial is set if a connection has to be opened first.
	NeedsDial bool
	// CrossDomain is set if the upstream is in another failure domain, whose fixed cost
	// is in force.
	CrossDomain bool
	// Crossing is the cost of another failure domain where it is known: the delay of
	// the path, and the price of what crosses.
	Crossing time.Duration
	// Leaving is set if the upstream is about to end.
	Leaving bool
}

// Costs of choosing an upstream, expressed as time.
const (
	// crossDomainCost stands for the network delay to another failure domain and
	// the traffic between domains.
	crossDomainCost = driftdomain.FixedCost
	// dialCost is the usual time to open a connection.
	dialCost = 6 * time.Millisecond
	// failureCost is the cost of a certain failure or refusal, in latency
	// objectives. Even an immediate one takes an extra attempt from the budget,
	// and requests fail once the budget is spent.
	failureCost = 4.0
	// lastFailureCost is the same when no attempt is left after this one.
	lastFailureCost = 10.0
	// leavingCost ranks leaving upstreams after all others.
	leavingCost = 10 * time.Second
)

// EstimateCost returns the expected time until the upstream answers, plus
// penalties expressed as time. It handles upstreams that each pause briefly at
// different times while some are slow for seconds: a request that has stalled
// is expected to stall for as long again.
func EstimateCost(f Candidate) time.Duration {
	work := time.Duration(float64(f.TypicalTime) * f.Slowdown)
	cost := work
	slots := float64(max(1, f.Slots))
	cost += time.Duration(driftspeed.ExpectedExcess(f.Backlog+1-slots, f.Deviation) / slots * float64(work))
	cost += max(f.Stalled, f.Suspected)
	cost += failurePenalty(f)
	if f.NeedsDial {
		cost += dialCost
	}
	if f.CrossDomain {
		cost += crossDomainCost
	}
	cost += f.Crossing
	if f.Leaving {
		cost += leavingCost
	}
	return cost
}

// minReportSpan is the shortest time in which a reported load loses its weight.
const minReportSpan = 150 * time.Millisecond

// EstimateBacklog returns how many requests an upstream is expected to have, and the
// standard deviation of that number. It handles many VMs that each send few requests to
// the same upstreams, so that the latest report of one is old: what other VMs had there
// has ended after about the time that a request takes, and what they have sent since is
// that of an average upstream. Without it, each VM takes all upstreams for free that it
// has sent nothing to itself, and some queue while others are idle.
//
// InFlight is how many requests of this VM there are. Others is how many of other VMs
// there were by the latest report, and age the time since. Average is that of others at
// the upstreams of the service, 0 if none reports.
func EstimateBacklog(inFlight int, others float64, age, typicalTime time.Duration, average float64) (backlog, deviation float64) {
	weight := decay(age, max(typicalTime, minReportSpan))
	return float64(inFlight) + weight*others + (1-weight)*average, math.Sqrt((1 - weight) * average)
}

// HedgeDelay returns how long to wait for the first attempt before a hedge is
// sent. A quarter of the objective leaves time for the hedge and its network
// delay; classes much faster than their objective are hedged earlier, and no
// hedge is sent before requests of the class usually end.
func HedgeDelay(objective, typical time.Duration) time.Duration {
	delay := min(max(5*typical/2, objective/8), objective/4)
	return max(delay, 3*typical/2)
}

// DelayIsCommon reports whether the parts of a query are late for a reason that
// they share, so that hedges gain nothing yet. It handles the first queries of a
// fleet or of a VM that takes over: connections are new, upstreams have queues
// of handshakes, and hedging every shard would spend the budget of all queries
// on one. A pause or a slow upstream delays a minority of the parts.
func DelayIsCommon(shards, received int) bool {
	return shards > 1 && 2*received < shards
}

// SuspectDelay returns the age at which a request indicates that its upstream
// is paused, rather than that the request itself takes long.
func SuspectDelay(typical time.Duration) time.Duration {
	return 2 * typical
}

// PartialAnswerDelay returns how long after its arrival a query is answered
// with the parts received so far, if they are enough: shortly before the
// objective, so that the answer reaches the caller in time.
func PartialAnswerDelay(objective time.Duration) time.Duration {
	return objective - min(max(objective/8, minAnswerMargin), maxAnswerMargin)
}

// Bounds of the time that it takes to merge, write and transfer an answer.
const (
	minAnswerMargin = 7 * time.Millisecond
	maxAnswerMargin = 15 * time.Millisecond
)

// CoverageReached reports whether the parts received reach the coverage floor.
func CoverageReached(received, shards int, floor float64) bool {
	return received > 0 && float64(received) >= floor*float64(shards)-1e-9
}

// MaxMissing returns the number of parts that an answer may lack.
func MaxMissing(shards int, floor float64) int {
	missing := 0
	for missing < shards && CoverageReached(shards-missing-1, shards, floor) {
		missing++
	}
	return missing
}
