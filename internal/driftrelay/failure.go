package driftrelay

import "time"

// Costs of failures of requests that may be repeated, in latency objectives.
const (
	// repeatCost is that of one failure: it leaves time for some repetitions.
	repeatCost = 0.25
	// maxRepeatCost is that of an upstream which fails all requests.
	maxRepeatCost = 10.0
)

// failurePenalty returns the cost of the failures that are expected at the upstream.
func failurePenalty(f Candidate) time.Duration {
	failure := failureCost
	if f.LastAttempt {
		failure = lastFailureCost
	}
	if f.Repeatable {
		return time.Duration((RepeatPenalty(f.FailureRate) + failure*f.RefusalRate) * float64(f.LatencyObjective))
	}
	return time.Duration(failure * (f.FailureRate + f.RefusalRate) * float64(f.LatencyObjective))
}

// RepeatPenalty returns the cost, in latency objectives, of the failures of a request that
// may be repeated: that of one failure, times the failures expected before a success. It
// handles services with one upstream that fails a part of its requests at once and another
// one that is slow: if a failure costs more than the wait at the slow one, all requests
// go there, and its queue grows until they are late.
func RepeatPenalty(failureRate float64) float64 {
	if failureRate >= 1 {
		return maxRepeatCost
	}
	return min(repeatCost*failureRate/(1-failureRate), maxRepeatCost)
}
