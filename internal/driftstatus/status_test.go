package driftstatus

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

func newView(self string, marks uint64, health drifttable.Health) *drifttable.View {
	return &drifttable.View{
		Self: self, Number: 3, BuiltAt: time.Unix(10, 0),
		VMs: drifttable.NewTable(
			drifttable.VM{Name: "vm-1", Domain: "Recife"},
			drifttable.VM{Name: "vm-2", Domain: "Natal", Health: health},
		),
		Domains:   drifttable.NewTable(drifttable.Domain{Name: "Recife", Out: marks > 1}),
		Upstreams: drifttable.NewTable(drifttable.Upstream{Name: "u-1", Domain: "Recife"}),
		Owners:    drifttable.NewTable(drifttable.Owner{Upstream: "u-1", Name: "vm-1"}),
		Revisions: drifttable.NewTable(drifttable.Revision{Name: "marks", Number: marks}),
	}
}

func reportOf(v *drifttable.View) VMReport {
	statuses := []driftshard.UpstreamStatus{{Upstream: "u-1", Cold: true, Limit: 1, ServiceTime: 3 * time.Millisecond}}
	return VMReport{Report: NewReport(Sources{View: v, Incarnation: 7, UpstreamStatuses: statuses}, time.Unix(11, 0))}
}

func TestReport(t *testing.T) {
	r := reportOf(newView("vm-1", 2, drifttable.Alive)).Report
	t.Run("contains the view, revisions and owned upstreams", func(t *testing.T) {
		assert.InDelta(t, 1000, r.View.Age, 0)
		assert.InDelta(t, -1, r.View.ConfigAge, 0)
		assert.Equal(t, uint64(2), r.Revision("marks"))
		assert.Equal(t, []Upstream{{Name: "u-1", Domain: "Recife", Out: true, Cold: true, Limit: 1, ServiceTime: 3}}, r.Upstreams)
		assert.True(t, r.Out)
	})
	t.Run("survives encoding as JSON", func(t *testing.T) {
		body, err := json.Marshal(r)
		require.NoError(t, err)
		var again Report
		require.NoError(t, json.Unmarshal(body, &again))
		assert.Equal(t, r, again)
	})
}

func TestCompare(t *testing.T) {
	t.Run("equal VMs do not differ", func(t *testing.T) {
		assert.Empty(t, Compare([]VMReport{
			reportOf(newView("vm-1", 1, drifttable.Alive)), reportOf(newView("vm-2", 1, drifttable.Alive)),
		}))
	})
	t.Run("an older revision and a different view are reported", func(t *testing.T) {
		differs := Compare([]VMReport{
			reportOf(newView("vm-1", 2, drifttable.Alive)), reportOf(newView("vm-2", 2, drifttable.Alive)),
			reportOf(newView("vm-3", 1, drifttable.Dead)),
		})
		assert.Equal(t, []Difference{
			{VM: "vm-3", Field: "revision of marks", Value: "1", Fleet: "2"},
			{VM: "vm-3", Field: "vms", Value: "vm-2 dead", Fleet: "vm-2 alive"},
			{VM: "vm-3", Field: "domains", Value: "Recife in", Fleet: "Recife out"},
		}, differs)
	})
	t.Run("the text lists differences and unresponsive VMs", func(t *testing.T) {
		var text strings.Builder
		f := Fleet{Differences: []Difference{{VM: "vm-3", Field: "vms"}}, Unresponsive: []UnresponsiveVM{{Name: "vm-4", Error: "late"}}}
		require.NoError(t, f.Write(&text))
		assert.Contains(t, text.String(), "differs: vm-3")
		assert.Contains(t, text.String(), "silent: vm-4")
	})
}
