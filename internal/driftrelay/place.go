package driftrelay

import "time"

// Candidate are what is known of an upstream when a request is placed.
type Candidate struct {
	// TypicalTime is how long a request of the class usually takes here.
	TypicalTime time.Duration
	// Slowdown is how much longer than that this upstream takes.
	Slowdown float64
	Slots    int
	// Backlog is the number of requests that the upstream has, as far as known.
	Backlog int
	// Stalled is how much longer than expected the oldest request in flight
	// has been waiting.
	Stalled time.Duration
	// Suspected is how long another VM's suspicion still holds.
	Suspected time.Duration
	// FailureRate is the share of recent requests that failed.
	FailureRate float64
	// RefusalRate is the share of recent requests that were refused at once.
	RefusalRate float64
	// LastAttempt is set if no other upstream may be tried after this one.
	LastAttempt bool
	// LatencyObjective is the latency objective of the class.
	LatencyObjective time.Duration
	// NeedsDial is set if a connection has to be opened first.
	NeedsDial bool
	// CrossDomain is set if the upstream is in another failure domain.
	CrossDomain bool
	// Leaving is set if the upstream is about to go.
	Leaving bool
}

// Costs of a placement, expressed as time.
const (
	// crossDomainCost is what the way to another failure domain and the bytes between
	// domains are worth, in latency.
	crossDomainCost = 20 * time.Millisecond
	// dialCost is the usual time to open a connection.
	dialCost = 6 * time.Millisecond
	// failureCost is what a certain failure or refusal costs, in latency
	// objectives. Even one that comes at once takes an extra send from the
	// budget, and requests whose budget is spent fail.
	failureCost = 4.0
	// lastFailureCost is the same when no attempt is left after this one.
	lastFailureCost = 10.0
	// leavingCost puts upstreams that leave behind all others.
	leavingCost = 10 * time.Second
)

// EstimateCost returns the expected time until the upstream answers, with what
// else speaks against it counted as time. It answers the load pattern in
// which every upstream stands still for a moment now and then, each at its
// own time, and some are slow for seconds: a request that is stalled is
// expected to stay so for as long again.
func EstimateCost(f Candidate) time.Duration {
	work := time.Duration(float64(f.TypicalTime) * f.Slowdown)
	cost := work
	if waiting := f.Backlog + 1 - max(1, f.Slots); waiting > 0 {
		cost += work * time.Duration(waiting) / time.Duration(max(1, f.Slots))
	}
	cost += max(f.Stalled, f.Suspected)
	failure := failureCost
	if f.LastAttempt {
		failure = lastFailureCost
	}
	cost += time.Duration(failure * (f.FailureRate + f.RefusalRate) * float64(f.LatencyObjective))
	if f.NeedsDial {
		cost += dialCost
	}
	if f.CrossDomain {
		cost += crossDomainCost
	}
	if f.Leaving {
		cost += leavingCost
	}
	return cost
}

// HedgeDelay returns how long a first attempt is waited for before a second
// one is sent. A quarter of the objective leaves time for the second attempt
// and its way; a class that is much faster than its objective is hedged
// earlier, and none before its requests usually end.
func HedgeDelay(objective, typical time.Duration) time.Duration {
	delay := min(max(5*typical/2, objective/8), objective/4)
	return max(delay, 3*typical/2)
}

// SuspectDelay returns the age at which a request shows that its upstream
// stands still, rather than that the request is a long one.
func SuspectDelay(typical time.Duration) time.Duration {
	return 2 * typical
}

// PartialAnswerDelay returns how long after its arrival a query is answered with the
// parts that are in, if they are enough: shortly before the objective, so
// that the answer reaches the caller within it.
func PartialAnswerDelay(objective time.Duration) time.Duration {
	return objective - min(max(objective/8, minAnswerMargin), maxAnswerMargin)
}

// Bounds of the time that an answer needs to be merged, written and carried.
const (
	minAnswerMargin = 7 * time.Millisecond
	maxAnswerMargin = 15 * time.Millisecond
)

// CoverageReached reports whether the parts that are in make a success.
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
