package driftgossip

import (
	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// LeavingUpstream says that one incarnation of an upstream leaves.
type LeavingUpstream struct {
	Upstream    string
	Incarnation int64
}

const (
	// maxLeavingNews bounds the signs that are being passed on, and
	// maxRoundLeavings those that one datagram carries.
	maxLeavingNews   = 256
	maxRoundLeavings = 24
)

// leavingNews is a sign that is being passed on.
type leavingNews struct {
	sign *driftgossippb.Leaving
	// transmissions counts the rounds that carried it.
	transmissions int
}

// WithLeavingHandler sets a function to call when another VM says that an upstream
// leaves. It reports whether that is news, which is then passed on.
func WithLeavingHandler(handler func(LeavingUpstream) (isNew bool)) Option {
	return func(f *Fleet) { f.onLeaving = handler }
}

// ReportLeaving tells all other VMs that an upstream leaves. Each VM passes it on to a
// few others for some rounds. The sign is dropped if too many are being passed on.
func (f *Fleet) ReportLeaving(u LeavingUpstream) {
	f.mu.Lock()
	if len(f.leavings) < maxLeavingNews {
		f.leavings = append(f.leavings, leavingNews{sign: &driftgossippb.Leaving{Upstream: u.Upstream, Boot: u.Incarnation}})
	}
	f.mu.Unlock()
	f.requestRound()
}

// takeLeavings returns the signs that a round carries, and forgets those that enough
// rounds have carried. The caller holds the lock.
func (f *Fleet) takeLeavings() (signs []*driftgossippb.Leaving) {
	taken := min(len(f.leavings), maxRoundLeavings)
	again := f.leavings[taken:]
	for _, n := range f.leavings[:taken] {
		signs = append(signs, n.sign)
		if n.transmissions++; n.transmissions < changeTransmissions {
			again = append(again, n)
		}
	}
	f.leavings = again
	return signs
}

// handleLeavings handles the signs of a datagram and passes on what is new.
func (f *Fleet) handleLeavings(message *driftgossippb.Datagram) {
	for _, l := range message.GetLeavings() {
		sign := LeavingUpstream{Upstream: l.GetUpstream(), Incarnation: l.GetBoot()}
		if sign.Upstream != "" && f.onLeaving(sign) {
			f.ReportLeaving(sign)
		}
	}
}
