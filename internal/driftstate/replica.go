// Package driftstate keeps a replica of the published state up to date: a few
// VMs watch the platform, and the others pull the changes from them.
//
// A Replica holds items by key. Each item has the revision of its last change.
// Removed items stay for a while as tombstones, so that another VM can be told
// exactly what changed after a revision. An item is never replaced by an older
// revision of it, whichever source that comes from.
//
// A platform may be restored from an older copy of itself: it loses its latest
// changes, and gives their revisions to others. It then names a new era. Only a
// full list leads a replica into a new era. Items that the list lacks are kept
// for a while, since those that wrote them write them again.
//
// # Usage
//
//	replica := driftstate.NewReplica()
//	reader := driftstate.NewReader(replica, source, fleet)
//	go reader.Run(ctx)
//	for range replica.Changed() {
//		items := replica.LiveItems()
//	}
package driftstate

import (
	"sync"
	"time"
)

// Item is one key as the platform published it.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
	// AppliedAt is the local time at which this replica applied the item.
	AppliedAt time.Time
}

// Changes are the items that changed after a revision, or all items if Full is
// set.
type Changes struct {
	Full     bool
	Items    []Item
	Revision Revision
	// Confirmed is a time at which Revision was the newest one on the platform.
	Confirmed time.Time
}

// tombstoneLifetime is how long removed items are kept for VMs that ask for
// changes; a VM that is further behind gets all items.
const tombstoneLifetime = 30 * time.Second

// restoreGrace is how long items are kept that a restored platform lacks. On the
// published sites what was lost is back within 2 s of the platform's return.
const restoreGrace = 2 * time.Second

// Replica is a copy of the published items. It is safe for concurrent use.
type Replica struct {
	changed chan struct{}

	mu        sync.Mutex
	items     map[string]Item
	revision  Revision
	confirmed time.Time
	// eraSince is when the replica took the first list of the era.
	eraSince time.Time
	// earlierEra is set while the replica may hold items of an earlier era.
	earlierEra bool
	// compactedRevision is the revision up to which removals are unknown: their
	// tombstones were dropped, or a full list came without them.
	compactedRevision Revision
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{items: make(map[string]Item), changed: make(chan struct{}, 1)}
}

// Changed receives a value after items have changed. Several changes may share
// one value.
func (r *Replica) Changed() <-chan struct{} { return r.changed }

// Revision returns the newest revision that the replica holds completely, and
// when the platform last confirmed that it was the newest. Both are zero before
// the first read.
func (r *Replica) Revision() (Revision, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.confirmed
}

// LiveItems returns the items that are not removed, in no particular order.
func (r *Replica) LiveItems() []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := make([]Item, 0, len(r.items))
	for _, item := range r.items {
		if !item.Removed {
			live = append(live, item)
		}
	}
	return live
}

// Apply merges changes into the replica and reports whether any item changed.
// Items that are not newer than the replica's are ignored, and so are changes of
// an earlier era, and partial changes before the first full list of an era.
func (r *Replica) Apply(c Changes, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	newEra := c.Revision.Era > r.revision.Era || r.revision.IsZero()
	if (newEra && !c.Full) || c.Revision.Era < r.revision.Era {
		return false
	}
	if newEra {
		r.eraSince, r.earlierEra = now, true
	}
	changed := false
	for _, item := range c.Items {
		changed = r.applyItem(item, now) || changed
		r.earlierEra = r.earlierEra || item.Revision.Era < c.Revision.Era
	}
	if c.Full && !r.revision.After(c.Revision) {
		changed = r.removeMissing(c, now) || changed
		r.compactedRevision = newest(r.compactedRevision, c.Revision)
	}
	r.revision = newest(r.revision, c.Revision)
	r.confirm(c.Revision, c.Confirmed)
	r.dropTombstones(now)
	if changed {
		r.signalChange()
	}
	return changed
}

func (r *Replica) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Tick removes the items of an earlier era that were not written again within
// restoreGrace. It should be called a few times a second.
func (r *Replica) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.earlierEra || r.keepsEarlierEra(now) {
		return
	}
	r.earlierEra = false
	changed := false
	for key, held := range r.items {
		if !held.Removed && held.Revision.Era < r.revision.Era {
			r.items[key] = Item{Key: key, Revision: r.revision, Removed: true, AppliedAt: now}
			changed = true
		}
	}
	if changed {
		r.signalChange()
	}
}

// keepsEarlierEra reports whether items of an earlier era are still kept. The
// caller holds the lock.
func (r *Replica) keepsEarlierEra(now time.Time) bool {
	return now.Sub(r.eraSince) < restoreGrace
}

// Confirm records that the revision was the newest one on the platform at the
// given time. It has no effect if the replica holds an older revision.
func (r *Replica) Confirm(revision Revision, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(revision, at)
}

// InvalidateConfirmation discards the time of the last confirmation. It must be
// called after a pause of the process.
func (r *Replica) InvalidateConfirmation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = time.Time{}
}

func (r *Replica) confirm(revision Revision, at time.Time) {
	if !revision.After(r.revision) && at.After(r.confirmed) {
		r.confirmed = at
	}
}

func (r *Replica) applyItem(item Item, now time.Time) bool {
	held, ok := r.items[item.Key]
	if ok && !item.Revision.After(held.Revision) {
		return false
	}
	if !ok && item.Removed && !item.Revision.After(r.compactedRevision) {
		return false
	}
	item.AppliedAt = now
	r.items[item.Key] = item
	return true
}

// removeMissing turns items that are missing from a full list into tombstones,
// unless they are newer than the list or of an earlier era that is still kept.
func (r *Replica) removeMissing(c Changes, now time.Time) bool {
	listed := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		listed[item.Key] = true
	}
	changed := false
	for key, held := range r.items {
		if held.Removed || listed[key] || held.Revision.After(c.Revision) {
			continue
		}
		if held.Revision.Era < c.Revision.Era && r.keepsEarlierEra(now) {
			continue
		}
		r.items[key] = Item{Key: key, Revision: c.Revision, Removed: true, AppliedAt: now}
		changed = true
	}
	return changed
}

// dropTombstones drops tombstones older than tombstoneLifetime.
func (r *Replica) dropTombstones(now time.Time) {
	for key, held := range r.items {
		if held.Removed && now.Sub(held.AppliedAt) > tombstoneLifetime {
			r.compactedRevision = newest(r.compactedRevision, held.Revision)
			delete(r.items, key)
		}
	}
}

// ChangesAfter returns the changes after the revision, or all items if the
// replica does not know every removal since then.
func (r *Replica) ChangesAfter(revision Revision) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Changes{
		Full:     r.compactedRevision.After(revision) || revision.Era != r.revision.Era || revision.IsZero(),
		Revision: r.revision, Confirmed: r.confirmed,
	}
	for _, item := range r.items {
		if c.Full && !item.Removed || !c.Full && item.Revision.After(revision) {
			c.Items = append(c.Items, item)
		}
	}
	return c
}
