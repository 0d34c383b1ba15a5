package driftgossip

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// referral records that a VM was told of members of its own domain.
type referral struct {
	incarnation uint64
	at          time.Time
}

// receive merges datagrams until the context ends.
func (f *Fleet) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := f.socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var message driftgossippb.Datagram
		if proto.Unmarshal(buffer[:n], &message) == nil {
			f.mergeDatagram(&message, time.Now())
		}
	}
}

// mergeDatagram merges the content of a datagram into the membership.
func (f *Fleet) mergeDatagram(message *driftgossippb.Datagram, now time.Time) {
	sender := message.GetSender()
	if sender.GetName() == "" || sender.GetName() == f.self.Name {
		return
	}
	f.mu.Lock()
	f.met, f.heardAt = true, now
	held, known := f.table.members[sender.GetName()]
	returned := f.table.hear(sender.GetDomain(), now)
	f.table.merge(sender, now, true)
	outdated := f.table.mergeReported(message, now)
	changed := f.table.rings == nil
	resync := f.disagrees(message, now)
	f.mu.Unlock()
	f.noteRevision(sender, now)
	for _, s := range message.GetSuspects() {
		f.onSuspect(s.GetUpstream(), time.Duration(s.GetSpan())*time.Millisecond)
	}
	f.handleLeavings(message)
	f.handleRoom(message)
	if len(outdated) > 0 {
		f.writeTo(sender.GetAddress(), func(m *driftgossippb.Datagram) { m.Entries = outdated })
	}
	f.welcome(sender, !known || held.Incarnation != sender.GetBoot(), now)
	f.handleLoans(message)
	f.handleQuotas(message)
	if message.GetSync() {
		f.synchronize(sender.GetAddress(), sender.GetDomain())
	}
	if returned || resync {
		f.writeTo(sender.GetAddress(), func(m *driftgossippb.Datagram) { m.Sync = true })
	}
	if f.isSuspectedBy(message) {
		f.refute(sender.GetAddress())
	}
	if changed {
		f.requestRound()
	}
}

// mergeReported merges what a datagram says about other VMs than its sender. It
// returns newer entries of VMs whose death was reported at an earlier heartbeat.
func (t *memberTable) mergeReported(message *driftgossippb.Datagram, now time.Time) (newer []*driftgossippb.Entry) {
	for _, e := range message.GetEntries() {
		if m, ok := t.outdatedDeath(e); ok {
			newer = append(newer, toEntry(m))
		}
		if t.trusts(message.GetSender(), e) {
			t.merge(e, now, false)
		}
	}
	return newer
}

// noteRevision confirms the revision that this VM holds by that of a sender, or
// reports that the sender's is newer.
func (f *Fleet) noteRevision(sender *driftgossippb.Entry, now time.Time) {
	if sender.GetAge() < unconfirmedAgeMillis {
		f.replica.Confirm(revisionOf(sender), now.Add(-time.Duration(sender.GetAge())*time.Millisecond))
	}
	if held, _ := f.replica.Revision(); revisionOf(sender).After(held) {
		f.onNewerRevision()
	}
}

// welcome tells a new VM of other members: one of this VM's domain of all, one
// of another domain of those of its own.
func (f *Fleet) welcome(sender *driftgossippb.Entry, isNew bool, now time.Time) {
	f.mu.Lock()
	near := sender.GetDomain() == f.self.Domain || f.table.settledMesh()
	last := f.referred[sender.GetName()]
	referred := last.incarnation == sender.GetBoot() && now.Sub(last.at) < referralMemory
	f.mu.Unlock()
	switch {
	case near && isNew && f.introductionLimiter.Allow():
		f.introduce(sender.GetAddress())
	case !near && !referred && f.referralLimiter.Allow():
		f.mu.Lock()
		f.dropOldReferrals(now)
		f.referred[sender.GetName()] = referral{incarnation: sender.GetBoot(), at: now}
		f.mu.Unlock()
		f.refer(sender.GetAddress(), sender.GetDomain())
	}
}

// dropOldReferrals bounds the memory of referrals where VMs come and go.
func (f *Fleet) dropOldReferrals(now time.Time) {
	for name, r := range f.referred {
		if now.Sub(r.at) > referralMemory {
			delete(f.referred, name)
		}
	}
}
