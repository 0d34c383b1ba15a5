package drifttimeline

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func event(vm string, sequence uint64, at time.Duration, code driftevent.Code, attempt string) driftevent.Event {
	e := driftevent.Event{VM: vm, Incarnation: 1, Sequence: sequence, Time: noon.Add(at), Code: code, Name: code.Name()}
	if attempt != "" {
		e.Request, e.Detail = "q", attempt+" more"
	}
	return e
}

// attemptAcrossTwoVMs returns the events of one attempt from vm-1 to vm-2, whose
// clock is off by skew.
func attemptAcrossTwoVMs(skew time.Duration) []driftevent.Event {
	return []driftevent.Event{
		event("vm-1", 1, 1*time.Millisecond, driftevent.AttemptStarted, "q/1"),
		event("vm-2", 7, 2*time.Millisecond+skew, driftevent.DispatchStarted, "q/1"),
		event("vm-2", 8, 3*time.Millisecond+skew, driftevent.DispatchEnded, "q/1"),
		event("vm-1", 2, 4*time.Millisecond, driftevent.AttemptEnded, "q/1"),
	}
}

func TestOrder(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run("an attempt keeps its order with a clock skew of "+skew.String(), func(t *testing.T) {
			events := attemptAcrossTwoVMs(skew)
			shuffled := append([]driftevent.Event(nil), events...)
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) {
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			})
			assert.Equal(t, events, Order(shuffled))
		})
	}
	t.Run("unlinked events are ordered by the clocks", func(t *testing.T) {
		first := event("vm-2", 1, 0, driftevent.ConfigInForce, "")
		second := event("vm-1", 1, time.Millisecond, driftevent.ConfigInForce, "")
		assert.Equal(t, []driftevent.Event{first, second}, Order([]driftevent.Event{second, first}))
	})
	t.Run("events that contradict one another are kept", func(t *testing.T) {
		events := attemptAcrossTwoVMs(0)
		events[0].Sequence, events[3].Sequence = 2, 1
		assert.ElementsMatch(t, events, Order(events))
	})
}

// TestOrderKeepsSequence checks on random events with random clocks that no
// event is lost and that the order within each VM is kept.
func TestOrderKeepsSequence(t *testing.T) {
	codes := []driftevent.Code{
		driftevent.AttemptStarted, driftevent.DispatchStarted, driftevent.DispatchEnded,
		driftevent.AttemptEnded, driftevent.ConfigInForce,
	}
	rapid.Check(t, func(r *rapid.T) {
		var events []driftevent.Event
		next := make(map[string]uint64)
		for range rapid.IntRange(0, 40).Draw(r, "events") {
			vm := rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"}).Draw(r, "vm")
			at := time.Duration(rapid.IntRange(0, 50).Draw(r, "at")) * time.Millisecond
			code := rapid.SampledFrom(codes).Draw(r, "code")
			events = append(events, event(vm, next[vm], at, code, rapid.SampledFrom([]string{"", "q/1"}).Draw(r, "attempt")))
			next[vm]++
		}
		ordered := Order(events)
		assert.ElementsMatch(r, events, ordered)
		assertSequenceOrder(r, ordered)
	})
}

func assertSequenceOrder(t assert.TestingT, ordered []driftevent.Event) {
	next := make(map[string]uint64)
	for _, e := range ordered {
		assert.Equal(t, next[e.VM], e.Sequence, e.VM)
		next[e.VM]++
	}
}

func TestWriteTrace(t *testing.T) {
	var file bytes.Buffer
	timeline := Timeline{Events: Order(attemptAcrossTwoVMs(-time.Hour))}
	require.NoError(t, timeline.WriteTrace(&file))
	var got traceFile
	require.NoError(t, json.Unmarshal(file.Bytes(), &got))
	var phases string
	for i, e := range got.Events {
		phases += e.Phase
		if i > 0 && e.Phase != phaseMeta && got.Events[i-1].Phase != phaseMeta {
			assert.GreaterOrEqual(t, e.TS, got.Events[i-1].TS)
		}
	}
	assert.Equal(t, "MbMbee", phases)
}
