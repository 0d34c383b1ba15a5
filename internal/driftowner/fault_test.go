package driftowner

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// step is one fault, or its end, and the time until the next step.
type step struct {
	name string
	wait time.Duration
}

// faults are the possible steps of a script. Each may occur at any time and
// repeatedly.
var faults = []string{
	"cool", "restart", "silence", "slow", "fast", "drop", "crossed", "sound", "cut", "joined",
	"own vm-1", "own vm-2", "out", "in", "leave", "return", "duplicate", "cancel",
}

func drawScript(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			name: rapid.SampledFrom(faults).Draw(t, "fault"),
			wait: time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 12).Draw(t, "script")
}

// faultSeed is the seed of the scripts. It is the same on every run unless
// set.
var faultSeed = flag.Uint64("faultseed", 1, "seed of the scripts of TestAnyFault")

// TestAnyFault runs random scripts of faults under load from two VMs. No
// fault may violate an invariant, and requests must succeed again after the
// faults have ended.
func TestAnyFault(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", strconv.FormatUint(*faultSeed, 10)))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	t.Logf("seed %d", *faultSeed)
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		var failure string
		synctest.Test(t, func(t *testing.T) {
			failure = runScript(t.Context(), script)
		})
		if failure != "" {
			rt.Fatalf("%s after %v", failure, script)
		}
	})
}

func runScript(ctx context.Context, script []step) (failure string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newTestbed(ctx, policy{})
	w.warmUp(ctx)
	stopped := make(chan struct{})
	loadCtx, stop := context.WithCancel(ctx)
	go func() {
		defer close(stopped)
		w.runLoads(loadCtx, scriptLength(script),
			load{"vm-1", "night", 4 * time.Millisecond, 2 * time.Second},
			load{"vm-2", "fire", 15 * time.Millisecond, fireObjective},
			load{"vm-1", "reserve", 25 * time.Millisecond, 200 * time.Millisecond},
		)
	}()
	coolings := 0
	for _, s := range script {
		coolings += w.applyStep(ctx, s.name)
		time.Sleep(s.wait)
	}
	<-stopped
	stop()
	for _, end := range []string{"sound", "fast", "joined", "in", "return", "own vm-1"} {
		coolings += w.applyStep(ctx, end)
	}
	time.Sleep(2 * testHold)
	return w.checkScript(ctx, coolings)
}

func scriptLength(script []step) (length time.Duration) {
	for _, s := range script {
		length += s.wait
	}
	return length
}

// applyStep applies one step and returns how often it made the upstream cold.
func (w *testbed) applyStep(ctx context.Context, name string) (coolings int) {
	u := w.upstream
	switch name {
	case "cool":
		u.MakeCold()
		return 1
	case "restart":
		u.Restart()
		return 1
	case "silence":
		u.SilenceConnections()
	case "slow":
		u.SetSlowdown(10)
	case "fast":
		u.SetSlowdown(1)
	case "drop":
		u.SetReplyMode(driftfake.ConnectionClosed)
	case "crossed":
		u.SetReplyMode(driftfake.MismatchedReply)
	case "sound":
		u.SetReplyMode(driftfake.NormalReply)
	case "cut", "joined":
		w.dialer.SetUnreachable(u.Name, name == "cut")
	case "own vm-1", "own vm-2":
		w.setOwner(name[len("own "):])
	case "out", "in":
		w.setDomainOut(name == "out")
	case "leave":
		u.Leave()
		w.setLeaving(true)
	case "return":
		u.Restart()
		w.setLeaving(false)
		return 1
	case "duplicate":
		w.sendDuplicates(ctx)
	case "cancel":
		go w.sendLosingHedges(ctx, time.Second)
	}
	return 0
}

// sendDuplicates sends one request that is not idempotent to both VMs, twice.
func (w *testbed) sendDuplicates(ctx context.Context) {
	r := w.request("reserve", 200*time.Millisecond)
	for _, vm := range []string{"vm-1", "vm-2", "vm-2", "vm-1"} {
		go w.owners[vm].Handle(ctx, r)
	}
}

// checkScript returns the first violation after a script, or "".
func (w *testbed) checkScript(ctx context.Context, coolings int) string {
	c := w.upstream.Counts()
	over := w.coldOverload()
	switch {
	case len(w.violations) > 0:
		return fmt.Sprintf("violation %+v", w.violations[0])
	case c.DuplicateRuns > 0:
		return fmt.Sprintf("%d repeated runs", c.DuplicateRuns)
	case c.AfterLeaving > 0:
		return fmt.Sprintf("%d requests after leaving", c.AfterLeaving)
	case c.PeakInFlight > testSlots:
		return fmt.Sprintf("%d requests in flight", c.PeakInFlight)
	case over > coolings*testSlots:
		return fmt.Sprintf("%d requests above the cold limit, upstream made cold %d times", over, coolings)
	}
	r := w.handle(ctx, "vm-2", "night", 2*time.Second)
	if _, done := r.(driftshard.Done); !done {
		return fmt.Sprintf("no service after the faults: %+v", r)
	}
	return ""
}
