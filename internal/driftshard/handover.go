package driftshard

import (
	"context"
	"time"
)

// Handover is the state of an upstream that the previous owner sends to the
// new one. The new owner may dispatch after it has received a Handover without
// requests in flight, or after the hold that its view states has ended.
type Handover struct {
	Upstream string
	From     string
	InFlight int
	Limit    int
	Cold     bool
	// Incarnation identifies the upstream's current process, 0 if unknown.
	Incarnation uint64
	// Baselines are the service times of the warm upstream by class.
	Baselines []Baseline
	// IDs are the IDs of recent requests that are not idempotent.
	IDs []string
}

// Baseline is the service time of one class at one warm upstream: its mean and
// its mean deviation.
type Baseline struct {
	Class     string
	Mean      time.Duration
	Deviation time.Duration
}

// HandoverSender sends a Handover to another VM.
type HandoverSender interface {
	SendHandover(ctx context.Context, vm string, h Handover) error
}

// HandoverReceiver processes a Handover from another VM.
type HandoverReceiver interface {
	ReceiveHandover(h Handover)
}
