package driftshard

import (
	"context"
	"time"
)

// Handover is the state of an upstream that its earlier owner passes to the
// new one. The new owner may dispatch once it has a Handover with no request
// in flight, or once the hold of its view is past.
type Handover struct {
	Upstream string
	From     string
	InFlight int
	Limit    int
	Cold     bool
	// Incarnation is the upstream's process incarnation, 0 when unknown.
	Incarnation uint64
	// Baselines are the service times of the upstream while warm, by class.
	Baselines []Baseline
	// IDs are the remembered ids of requests that are not idempotent.
	IDs []string
}

// Baseline is the service time of one class of work at one upstream while it is
// warm: the mean and its mean deviation.
type Baseline struct {
	Class     string
	Mean      time.Duration
	Deviation time.Duration
}

// HandoverSender passes a Handover to another VM.
type HandoverSender interface {
	SendHandover(ctx context.Context, vm string, h Handover) error
}

// HandoverReceiver takes a Handover from another VM.
type HandoverReceiver interface {
	ReceiveHandover(h Handover)
}
