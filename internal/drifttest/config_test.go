package drifttest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// propagationLimit is the time within which a configuration change must be in
// force on every VM.
const propagationLimit = 3 * time.Second

func TestConfiguration(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, f *Fleet)
	}{
		{"in force everywhere", changePropagates},
		{"stale service and restarted VM", staleServiceNeverReverts},
		{"all but one replaced while stale", oneVMKeepsConfiguration},
		{"invalid document", invalidDocumentIsRefused},
		{"unknown references", unknownReferencesAreAccepted},
		{"service down", configurationServiceDown},
		{"steady reads", readsIndependentOfVMCount},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t, NewFleet(t, driftfake.Oshana())) })
		})
	}
}

// revision returns the revision of a configuration key that is in force on a VM.
func (f *Fleet) revision(vm, key string) uint64 {
	r, _ := f.Node(vm).Views().Load().Revisions.Get(key)
	return r.Number
}

func assertInForce(t *testing.T, f *Fleet, key string, number uint64) {
	t.Helper()
	for _, vm := range VMNames() {
		assert.Equal(t, number, f.revision(vm, key), vm)
	}
}

func changePropagates(t *testing.T, f *Fleet) {
	t.Helper()
	number := f.Platform.Put(driftdocument.KeyClasses, f.Spec.ClassesDocument())
	time.Sleep(propagationLimit)
	assertInForce(t, f, driftdocument.KeyClasses, number)
}

func staleServiceNeverReverts(t *testing.T, f *Fleet) {
	t.Helper()
	number := f.Platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	time.Sleep(propagationLimit)
	f.Platform.SetStaleAt(driftdocument.KeyMarks, number-1)
	for _, vm := range VMNames() {
		f.KillAndUnlist(vm)
		f.StartAndList(vm)
		assertNeverBelow(t, f, vm, driftdocument.KeyMarks, number)
	}
	assertInForce(t, f, driftdocument.KeyMarks, number)
}

// assertNeverBelow samples the views of a restarted VM for five seconds and
// fails if one has an older revision.
func assertNeverBelow(t *testing.T, f *Fleet, vm, key string, number uint64) {
	t.Helper()
	for range 500 {
		if held := f.revision(vm, key); held != 0 {
			require.GreaterOrEqual(t, held, number, vm)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func oneVMKeepsConfiguration(t *testing.T, f *Fleet) {
	t.Helper()
	number := f.Platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	time.Sleep(propagationLimit)
	f.Platform.SetStaleAt(driftdocument.KeyMarks, number-1)
	for _, vm := range VMNames()[1:] {
		f.KillAndUnlist(vm)
	}
	for _, vm := range VMNames()[1:] {
		f.StartAndList(vm)
	}
	time.Sleep(propagationLimit)
	assertInForce(t, f, driftdocument.KeyMarks, number)
}

func invalidDocumentIsRefused(t *testing.T, f *Fleet) {
	t.Helper()
	before := f.revision("vm-1", driftdocument.KeyClasses)
	reads := f.Platform.Reads()
	f.Platform.PutRaw(driftdocument.KeyClasses, []byte(`{"classes":[{"name":""}]}`))
	time.Sleep(propagationLimit)
	assertInForce(t, f, driftdocument.KeyClasses, before)
	refused := uint64(0)
	for _, vm := range VMNames() {
		refused += f.Node(vm).Events.Count(driftevent.ConfigRefused)
	}
	assert.Positive(t, refused)
	assert.Less(t, f.Platform.Reads()-reads, 40)
}

func unknownReferencesAreAccepted(t *testing.T, f *Fleet) {
	t.Helper()
	classes := f.Spec.ClassesDocument()
	classes.Classes = append(classes.Classes, driftdocument.Class{
		Name: "ghost", Service: "nowhere", LatencyObjective: driftdocument.Duration(time.Second),
	})
	f.Platform.Put(driftdocument.KeyClasses, classes)
	versions := f.Spec.VersionsDocument(1)
	versions.Versions[0].Shards[0].Upstreams = []string{"unknown-1"}
	number := f.Platform.Put(driftdocument.KeyVersionsPrefix+f.Spec.Service, versions)
	time.Sleep(propagationLimit)
	assertInForce(t, f, driftdocument.KeyVersionsPrefix+f.Spec.Service, number)
}

func configurationServiceDown(t *testing.T, f *Fleet) {
	t.Helper()
	f.SetPlatformDown(true)
	time.Sleep(10 * time.Minute)
	v := f.Node("vm-1").Views().Load()
	assert.Greater(t, v.ConfigAge(time.Now()), 9*time.Minute)
	assert.False(t, v.Fenced)
	number := f.Platform.Put(driftdocument.KeyClasses, f.Spec.ClassesDocument())
	f.SetPlatformDown(false)
	time.Sleep(3 * propagationLimit)
	assertInForce(t, f, driftdocument.KeyClasses, number)
}

// readsIndependentOfVMCount asserts that the number of reads grows with the
// number of readers, two for each key and failure domain, and not with the
// number of VMs.
func readsIndependentOfVMCount(t *testing.T, f *Fleet) {
	t.Helper()
	time.Sleep(time.Minute)
	before := f.Platform.Reads()
	time.Sleep(10 * time.Minute)
	const keys, watchesPerMinute = 5, 3
	limit := 10 * watchesPerMinute * keys * 2 * len(f.Spec.Domains)
	assert.LessOrEqual(t, f.Platform.Reads()-before, limit)
}
