package driftstatus

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Write writes the reports as text.
func (f Fleet) Write(w io.Writer) error {
	if err := f.writeVMs(w); err != nil {
		return err
	}
	var text strings.Builder
	text.WriteString("\nrevisions in force\n")
	for _, key := range revisionKeys(f.Reports) {
		fmt.Fprintf(&text, "  %s %d\n", key, newestRevision(f.Reports, key))
	}
	for _, m := range f.Reports {
		writeNotableUpstreams(&text, m.Report)
	}
	for _, s := range f.Unresponsive {
		fmt.Fprintf(&text, "silent: %s at %s: %s\n", s.Name, s.Address, s.Error)
	}
	for _, d := range f.Differences {
		fmt.Fprintf(&text, "differs: %s: %s is %q, in the fleet %q\n", d.VM, d.Field, d.Value, d.Fleet)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func newestRevision(reports []VMReport, key string) uint64 {
	var number uint64
	for _, m := range reports {
		number = max(number, m.Report.Revision(key))
	}
	return number
}

func (f Fleet) writeVMs(w io.Writer) error {
	var table strings.Builder
	table.WriteString("vm\tdomain\tview\tage ms\tconfig ms\tstate\tupstreams\tcold\tviolations\t\n")
	for _, m := range f.Reports {
		r := m.Report
		fmt.Fprintf(&table, "%s\t%s\t%d\t%.0f\t%.0f\t%s\t%d\t%d\t%d\t\n",
			r.Name, r.Domain, r.View.Number, r.View.Age, r.View.ConfigAge, r.state(),
			len(r.Upstreams), r.coldUpstreams(), r.totalViolations())
	}
	aligned := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(aligned, table.String()); err != nil {
		return err
	}
	return aligned.Flush()
}

// state returns why the VM does not serve, or "serving".
func (r Report) state() string {
	switch {
	case r.Leaving:
		return "leaving"
	case r.Fenced:
		return "fenced"
	case r.Out:
		return "out"
	}
	return "serving"
}

func (r Report) coldUpstreams() int {
	var cold int
	for _, u := range r.Upstreams {
		if u.Cold {
			cold++
		}
	}
	return cold
}

func (r Report) totalViolations() uint64 {
	var total uint64
	for _, v := range r.Violations {
		total += v.Number
	}
	return total
}

// writeNotableUpstreams writes the upstreams of a VM that are cold, are out or
// have queued requests.
func writeNotableUpstreams(text *strings.Builder, r Report) {
	for _, u := range r.Upstreams {
		if !u.Cold && !u.Out && u.Queued == 0 {
			continue
		}
		fmt.Fprintf(text, "%s: upstream %s cold=%t out=%t flight=%d queue=%d limit=%d\n",
			r.Name, u.Name, u.Cold, u.Out, u.InFlight, u.Queued, u.Limit)
	}
}
