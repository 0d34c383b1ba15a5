package driftstate

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// number returns a revision of a platform that names no era.
func number(n int64) Revision { return Revision{Number: n} }

func item(key string, revision int64) Item {
	return Item{Key: key, Value: []byte(strconv.FormatInt(revision, 10)), Revision: number(revision)}
}

func removal(key string, revision int64) Item {
	return Item{Key: key, Revision: number(revision), Removed: true}
}

func keys(r *Replica) []string {
	var keys []string
	for _, i := range r.LiveItems() {
		keys = append(keys, i.Key+"@"+string(i.Value))
	}
	slices.Sort(keys)
	return keys
}

func TestReplica(t *testing.T) {
	now := time.Now()
	full := Changes{Full: true, Revision: number(10), Items: []Item{item("a", 3), item("b", 9)}, Confirmed: now}
	t.Run("changes before a full read are ignored", func(t *testing.T) {
		r := NewReplica()
		assert.False(t, r.Apply(Changes{Revision: number(5), Items: []Item{item("a", 5)}}, now))
		assert.Empty(t, keys(r))
	})
	t.Run("an older list removes and reverts nothing", func(t *testing.T) {
		r := NewReplica()
		r.Apply(full, now)
		r.Apply(Changes{Revision: number(12), Items: []Item{item("a", 11), item("c", 12)}}, now)
		assert.False(t, r.Apply(Changes{Full: true, Revision: number(8), Items: []Item{item("a", 3)}}, now))
		assert.Equal(t, []string{"a@11", "b@9", "c@12"}, keys(r))
	})
	t.Run("a newer list removes items that it does not contain", func(t *testing.T) {
		r := NewReplica()
		r.Apply(full, now)
		r.Apply(Changes{Full: true, Revision: number(20), Items: []Item{item("b", 9)}}, now)
		assert.Equal(t, []string{"b@9"}, keys(r))
		assert.True(t, r.ChangesAfter(number(10)).Full, "removals before the list are unknown")
		assert.False(t, r.ChangesAfter(number(20)).Full)
	})
	t.Run("a dropped tombstone makes other VMs read all items", func(t *testing.T) {
		r := NewReplica()
		r.Apply(full, now)
		r.Apply(Changes{Revision: number(11), Items: []Item{removal("a", 11)}}, now)
		assert.False(t, r.ChangesAfter(number(10)).Full)
		r.Apply(Changes{Revision: number(12), Items: []Item{item("c", 12)}}, now.Add(2*tombstoneLifetime))
		assert.True(t, r.ChangesAfter(number(10)).Full)
		assert.False(t, r.ChangesAfter(number(11)).Full)
	})
	t.Run("only a held revision is confirmed", func(t *testing.T) {
		r := NewReplica()
		r.Apply(full, now)
		r.Confirm(number(11), now.Add(time.Second))
		_, confirmed := r.Revision()
		assert.Equal(t, now, confirmed)
		r.Confirm(number(10), now.Add(time.Second))
		_, confirmed = r.Revision()
		assert.Equal(t, now.Add(time.Second), confirmed)
		r.InvalidateConfirmation()
		_, confirmed = r.Revision()
		assert.Zero(t, confirmed)
	})
}

// TestListHidRemovals guards against moving another VM past removals that a full
// list implied: it would keep the removed items for good.
func TestListHidRemovals(t *testing.T) {
	now := time.Now()
	behind, reader := NewReplica(), NewReplica()
	behind.Apply(Changes{Full: true, Revision: number(30), Items: []Item{item("a", 20), item("removed", 30)}}, now)
	reader.Apply(Changes{Full: true, Revision: number(39), Items: []Item{item("a", 38)}}, now)
	held, _ := behind.Revision()
	behind.Apply(reader.ChangesAfter(held), now)
	assert.Equal(t, keys(reader), keys(behind))
}

// TestReplicasAgree applies random changes to two replicas that read from the
// platform or from each other at random times, and checks that both converge to
// its state.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		source := NewReplica()
		source.Apply(Changes{Full: true, Revision: number(1), Items: []Item{item("k0", 1)}}, now)
		replicas := []*Replica{NewReplica(), NewReplica()}
		for revision := int64(2); revision < 40; revision++ {
			key := "k" + strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key"))
			change := item(key, revision)
			if rapid.Bool().Draw(t, "removed") {
				change = removal(key, revision)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			source.Apply(Changes{Revision: number(revision), Items: []Item{change}}, now)
			to := rapid.IntRange(0, 1).Draw(t, "to")
			from := source
			if rapid.Bool().Draw(t, "peer") {
				from = replicas[1-to]
			}
			held, _ := replicas[to].Revision()
			replicas[to].Apply(from.ChangesAfter(held), now)
			newRevision, _ := replicas[to].Revision()
			assert.False(t, held.After(newRevision))
		}
		for _, r := range replicas {
			held, _ := r.Revision()
			r.Apply(source.ChangesAfter(held), now)
			assert.Equal(t, keys(source), keys(r))
		}
	})
}

// fakeSource is a platform whose reads can fail or hang.
type fakeSource struct {
	mu        sync.Mutex
	changes   Changes
	err       error
	hangs     bool
	compacted bool
	calls     int
}

func (f *fakeSource) call(ctx context.Context) (Changes, error) {
	f.mu.Lock()
	f.calls++
	c, err, hangs := f.changes, f.err, f.hangs
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	c.Confirmed = time.Now()
	return c, err
}

func (f *fakeSource) List(ctx context.Context, _ bool) (Changes, error) {
	c, err := f.call(ctx)
	c.Full = true
	return c, err
}

func (f *fakeSource) Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error) {
	f.mu.Lock()
	wasCompacted := f.compacted
	f.compacted = false
	f.mu.Unlock()
	if wasCompacted {
		return Changes{}, errors.Annotate(ErrCompacted, "watch")
	}
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		if c, err := f.call(ctx); err != nil || c.Revision.After(after) {
			return c, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return f.call(ctx)
}

func (f *fakeSource) publish(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = Changes{Revision: number(revision), Items: []Item{item("a", revision)}}
}

func (f *fakeSource) set(change func(f *fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeFleet is a fleet of one VM.
type fakeFleet struct{ reads bool }

func (f fakeFleet) IsPlatformReader() bool     { return f.reads }
func (f fakeFleet) SetPlatformUnreadable(bool) {}
func (f fakeFleet) AnnounceRevision()          {}
func (f fakeFleet) PullChanges(context.Context, Revision) (Changes, error) {
	return Changes{}, errors.NotFoundf("VM")
}

// configBound is the time within which a change must be in force.
const configBound = 3 * time.Second

func TestReader(t *testing.T) {
	for _, c := range []struct {
		name   string
		reads  bool
		before func(f *fakeSource)
	}{
		{"watches", true, func(*fakeSource) {}},
		{"history compacted", true, func(f *fakeSource) { f.compacted = true }},
		{"no other VM reads", false, func(*fakeSource) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeSource{}
				source.publish(1)
				replica := NewReplica()
				ctx, cancel := context.WithCancel(t.Context())
				go NewReader(replica, source, fakeFleet{reads: c.reads}).Run(ctx)
				time.Sleep(time.Second)
				assert.Equal(t, []string{"a@1"}, keys(replica))
				source.set(c.before)
				source.publish(2)
				time.Sleep(configBound + directReadAge)
				assert.Equal(t, []string{"a@2"}, keys(replica))
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// recoveryBound is how long after its return the platform counts as back;
// changes must arrive by then.
const recoveryBound = 4 * time.Second

// TestSilentPlatform checks that a hanging watch times out without losing state
// or flooding the platform, and that changes arrive in time after the platform
// is back.
func TestSilentPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		source.publish(1)
		replica := NewReplica()
		ctx, cancel := context.WithCancel(t.Context())
		go NewReader(replica, source, fakeFleet{reads: true}).Run(ctx)
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) { f.hangs, f.calls = true, 0 })
		time.Sleep(time.Minute)
		assert.Equal(t, []string{"a@1"}, keys(replica))
		source.set(func(f *fakeSource) {
			assert.LessOrEqual(t, f.calls, int(time.Minute/watchWait), "calls while the platform hangs")
			f.hangs = false
		})
		source.publish(2)
		time.Sleep(recoveryBound)
		assert.Equal(t, []string{"a@2"}, keys(replica))
		cancel()
		time.Sleep(time.Second)
	})
}
