package driftcontrol

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// TestRefusedVMsAreRecordedOnce checks that entries of the VM list that name no VM
// are recorded once a change, in a bounded line.
func TestRefusedVMsAreRecordedOnce(t *testing.T) {
	events := driftevent.NewLog("vm", 1)
	c := &Control{events: events}
	odd, other := errors.NotValidf("%s", strings.Repeat("x", 5000)), errors.NotValidf("name")
	recorded := ""
	for _, list := range [][]error{nil, {odd}, {odd}, {other}, {other}, nil, {odd}} {
		recorded = c.recordRefusedVMs(list, recorded)
	}
	assert.EqualValues(t, 3, events.Count(driftevent.EntryIgnored))
	for _, e := range events.Events() {
		assert.LessOrEqual(t, len(e.Detail), 512)
	}
}
