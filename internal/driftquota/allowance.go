package driftquota

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// allowance is the number of an account's requests that one VM may make by itself
// in a window, without a grant.
type allowance struct {
	// spent holds when requests of the present window were made, and started how many
	// were made of the part for the first window after a start.
	spent   []time.Duration
	started int
}

// quotas are the whole requests of one account that a VM's allowances hold.
type quotas struct{ window, start int }

// allowances returns this VM's allowances for an account. Those of all VMs with the
// same view add up to their parts of the tolerance. A VM that has met nobody divides
// by what it knows, at least driftshare.UnmetVMs.
func (r Rule) allowances(a driftaccount.Account, v View) quotas {
	tolerance := r.tolerance(a)
	others := v.Others
	for len(others)+1 < v.Known {
		// A VM that others know and this one does not: its name does not matter.
		others = append(others[:len(others):len(others)], driftshare.Owner{Name: unknownVM(len(others)), Weight: v.Self.Weight})
	}
	self := v.Self
	units := func(total int, resource string) int {
		return driftshare.Units(total, resource+a.Name, self, others)
	}
	part := allowancePart
	if r.slight(a) {
		part = slightAllowance
	}
	// A VM without one would refuse the first request that it gets after a start.
	start := int(startPart * tolerance)
	if vms := len(others) + 1; vms <= int(startMost*tolerance) {
		start = max(start, vms)
	}
	return quotas{window: units(int(part*tolerance), "window/"), start: units(start, "start/")}
}

func unknownVM(i int) string { return "unknown " + string(rune('0'+i%64)) + string(rune('0'+i/64)) }

// take spends one request. Since is when the process started or was paused last; for
// a window after that, only the part for a start may be spent, unless it is the
// first start of the fleet, or a version has added the account since: then none can
// have been spent before. Unspent is set in both cases.
func (w *allowance) take(now, since time.Duration, unspent bool, r Rule, q quotas) bool {
	fresh := now-since < r.Window
	if fresh && w.started < q.start {
		w.started++
		return true
	}
	if fresh && !unspent {
		return false
	}
	old := 0
	for old < len(w.spent) && now-w.spent[old] >= r.Window {
		old++
	}
	w.spent = w.spent[old:]
	if len(w.spent) >= q.window {
		return false
	}
	w.spent = append(w.spent, now)
	return true
}
