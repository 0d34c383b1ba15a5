package drifttimeline

import (
	"fmt"
	"io"
	"strings"
)

// timeLayout formats the time of day to the microsecond.
const timeLayout = "15:04:05.000000"

// Write writes the timeline as text, one event per line.
func (t Timeline) Write(w io.Writer) error {
	var text strings.Builder
	for _, e := range t.Events {
		fmt.Fprintf(&text, "%s  %-8s %d %-20s", e.Time.UTC().Format(timeLayout), e.VM, e.Code, e.Name)
		for _, part := range []string{e.Request, e.Subject, e.Detail} {
			if part != "" {
				text.WriteString("  " + part)
			}
		}
		text.WriteByte('\n')
	}
	fmt.Fprintf(&text, "%d events of %d VMs\n", len(t.Events), len(t.VMs))
	for _, s := range t.Unresponsive {
		fmt.Fprintf(&text, "silent: %s at %s: %s\n", s.Name, s.Address, s.Error)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
