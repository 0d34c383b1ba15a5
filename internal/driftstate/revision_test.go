package driftstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func restored(n int64) Revision { return Revision{Era: 2, Number: n} }

func itemAt(key, value string, revision Revision) Item {
	return Item{Key: key, Value: []byte(value), Revision: revision}
}

func TestRevision(t *testing.T) {
	assert.True(t, restored(3).After(Revision{Era: 1, Number: 90}))
	assert.True(t, restored(4).After(restored(3)))
	assert.False(t, restored(3).After(restored(3)))
	assert.Equal(t, restored(3), newest(number(90), restored(3)))
}

// TestNewEra has a replica at revision 92 whose platform comes back from a copy of
// revision 90.
func TestNewEra(t *testing.T) {
	now := time.Now()
	held := func() *Replica {
		r := NewReplica()
		r.Apply(Changes{Full: true, Revision: Revision{Era: 1, Number: 92}, Items: []Item{
			itemAt("changed", "new", Revision{Era: 1, Number: 91}), itemAt("lost", "x", Revision{Era: 1, Number: 92}),
		}}, now)
		return r
	}
	list := Changes{Full: true, Revision: restored(90), Items: []Item{itemAt("changed", "old", restored(50))}}
	t.Run("a list replaces items of higher numbers", func(t *testing.T) {
		r := held()
		assert.True(t, r.Apply(list, now))
		assert.Equal(t, []string{"changed@old", "lost@x"}, keys(r))
		revision, _ := r.Revision()
		assert.Equal(t, restored(90), revision)
	})
	t.Run("partial changes do not lead into it", func(t *testing.T) {
		r := held()
		assert.False(t, r.Apply(Changes{Revision: restored(93), Items: []Item{itemAt("changed", "old", restored(93))}}, now))
		assert.Equal(t, []string{"changed@new", "lost@x"}, keys(r))
	})
	t.Run("nothing of the era before is taken or confirmed any more", func(t *testing.T) {
		r := held()
		r.Apply(list, now)
		before := Changes{
			Revision: Revision{Era: 1, Number: 95}, Confirmed: now.Add(time.Second),
			Items: []Item{itemAt("late", "x", Revision{Era: 1, Number: 95})},
		}
		assert.False(t, r.Apply(before, now))
		assert.Equal(t, []string{"changed@old", "lost@x"}, keys(r))
		_, confirmed := r.Revision()
		assert.Zero(t, confirmed)
	})
	t.Run("what was lost is kept until it can have been written again", func(t *testing.T) {
		r := held()
		r.Apply(list, now)
		r.Apply(list, now.Add(restoreGrace/2))
		r.Tick(now.Add(restoreGrace / 2))
		assert.Equal(t, []string{"changed@old", "lost@x"}, keys(r))
		r.Tick(now.Add(restoreGrace))
		assert.Equal(t, []string{"changed@old"}, keys(r))
	})
	t.Run("what was written again stays", func(t *testing.T) {
		r := held()
		r.Apply(list, now)
		r.Apply(Changes{Revision: restored(91), Items: []Item{itemAt("lost", "y", restored(91))}}, now)
		r.Tick(now.Add(time.Minute))
		assert.Equal(t, []string{"changed@old", "lost@y"}, keys(r))
	})
	t.Run("other VMs get all items", func(t *testing.T) {
		r := held()
		r.Apply(list, now)
		c := r.ChangesAfter(Revision{Era: 1, Number: 92})
		assert.True(t, c.Full)
		other := held()
		other.Apply(c, now)
		assert.Equal(t, keys(r), keys(other))
		fresh := NewReplica()
		fresh.Apply(c, now)
		fresh.Tick(now.Add(restoreGrace))
		assert.Equal(t, []string{"changed@old"}, keys(fresh))
	})
}
