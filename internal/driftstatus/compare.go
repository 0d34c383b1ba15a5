package driftstatus

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Difference is one way in which a VM differs from the fleet: a revision older
// than the newest one, or a view that is not the most common one. Fleet is the
// value in the rest of the fleet.
type Difference struct {
	VM    string `json:"vm"`
	Field string `json:"field"`
	Value string `json:"value"`
	Fleet string `json:"fleet"`
}

// Compare returns how VMs differ: in revisions older than the newest one, in
// the health and marks of VMs, and in the marks of failure domains.
func Compare(reports []VMReport) []Difference {
	differences := []Difference{}
	for _, key := range revisionKeys(reports) {
		differences = append(differences, findOldRevisions(reports, key)...)
	}
	differences = append(differences, findMinorityViews(reports, "vms", describeVMs)...)
	return append(differences, findMinorityViews(reports, "domains", describeDomains)...)
}

// revisionKeys returns the sorted configuration keys that any VM holds.
func revisionKeys(reports []VMReport) []string {
	seen := make(map[string]bool)
	for _, m := range reports {
		for _, r := range m.Report.Revisions {
			seen[r.Key] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func findOldRevisions(reports []VMReport, key string) []Difference {
	var newest uint64
	for _, m := range reports {
		newest = max(newest, m.Report.Revision(key))
	}
	var differences []Difference
	for _, m := range reports {
		if revision := m.Report.Revision(key); revision < newest {
			differences = append(differences, Difference{
				VM: m.Report.Name, Field: "revision of " + key,
				Value: strconv.FormatUint(revision, 10), Fleet: strconv.FormatUint(newest, 10),
			})
		}
	}
	return differences
}

// findMinorityViews returns the differences of the VMs whose view is not the
// most common one.
func findMinorityViews(reports []VMReport, field string, view func(Report) string) []Difference {
	counts := make(map[string]int)
	for _, m := range reports {
		counts[view(m.Report)]++
	}
	var common string
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		if counts[v] > counts[common] {
			common = v
		}
	}
	var differences []Difference
	for _, m := range reports {
		if v := view(m.Report); v != common {
			differences = append(differences, Difference{
				VM: m.Report.Name, Field: field, Value: partsMissingFrom(v, common), Fleet: partsMissingFrom(common, v),
			})
		}
	}
	return differences
}

// partSeparator separates the parts of a view.
const partSeparator = ", "

// partsMissingFrom returns the parts of view that are missing from other.
func partsMissingFrom(view, other string) string {
	others := strings.Split(other, partSeparator)
	var parts []string
	for p := range strings.SplitSeq(view, partSeparator) {
		if !slices.Contains(others, p) {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, partSeparator)
}

func describeVMs(r Report) string {
	var parts []string
	for _, vm := range r.VMs {
		state := vm.Health
		if vm.Out {
			state += " out"
		}
		parts = append(parts, fmt.Sprintf("%s %s", vm.Name, state))
	}
	return strings.Join(parts, partSeparator)
}

func describeDomains(r Report) string {
	var parts []string
	for _, d := range r.Domains {
		state := "in"
		if d.Out {
			state = "out"
		}
		parts = append(parts, fmt.Sprintf("%s %s", d.Name, state))
	}
	return strings.Join(parts, partSeparator)
}
