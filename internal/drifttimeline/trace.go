package drifttimeline

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// traceFile is a file of the Chrome trace event format.
type traceFile struct {
	Events []traceEvent `json:"traceEvents"`
	Unit   string       `json:"displayTimeUnit"`
}

// traceEvent is an entry of a trace file, with the field names of the format.
// TS is in microseconds.
type traceEvent struct {
	Name  string     `json:"name"`
	Cat   string     `json:"cat,omitempty"`
	Phase string     `json:"ph"`
	TS    int64      `json:"ts"`
	PID   int        `json:"pid"`
	TID   int        `json:"tid"`
	ID    string     `json:"id,omitempty"`
	Scope string     `json:"s,omitempty"`
	Args  *traceArgs `json:"args,omitempty"`
}

// traceArgs holds what a trace viewer shows for a selected entry.
type traceArgs struct {
	Name    string `json:"name,omitempty"`
	Code    int    `json:"code,omitempty"`
	Request string `json:"request,omitempty"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// The phases of the trace event format that are used here.
const (
	phaseMeta    = "M"
	phaseBegin   = "b"
	phaseEnd     = "e"
	phaseInstant = "i"
)

// WriteTrace writes the timeline as a file for the trace viewers of browsers:
// a process for each VM, a span for each query, attempt and dispatch, and an
// instant for every other event.
func (t Timeline) WriteTrace(w io.Writer) error {
	file := traceFile{Events: []traceEvent{}, Unit: "ms"}
	var vms []string
	var last time.Time
	for _, e := range t.Events {
		if !slices.Contains(vms, e.VM) {
			vms = append(vms, e.VM)
			file.Events = append(file.Events, traceEvent{
				Name: "process_name", Phase: phaseMeta, PID: len(vms), Args: &traceArgs{Name: e.VM},
			})
		}
		if e.Time.After(last) {
			last = e.Time
		}
		entry := newTraceEvent(e, last)
		entry.PID = slices.Index(vms, e.VM) + 1
		file.Events = append(file.Events, entry)
	}
	return json.NewEncoder(w).Encode(file)
}

// newTraceEvent returns the entry of an event at the given time, which is not
// earlier than that of the events before it in the timeline.
func newTraceEvent(e driftevent.Event, at time.Time) traceEvent {
	entry := traceEvent{
		Name: e.Name, Phase: phaseInstant, Scope: "t", TS: at.UnixMicro(),
		Args: &traceArgs{Code: int(e.Code), Request: e.Request, Subject: e.Subject, Detail: e.Detail},
	}
	s := spanOf(e)
	if s.phase != "" {
		entry.Name, entry.Cat, entry.ID, entry.Phase, entry.Scope = s.name, s.name, s.id, s.phase, ""
	}
	return entry
}

// span is the begin or the end of a span in the trace. Its phase is empty for
// events that neither begin nor end one.
type span struct {
	name, id, phase string
}

func spanOf(e driftevent.Event) span {
	switch e.Code {
	case driftevent.QueryStarted:
		return span{"query", e.Request, phaseBegin}
	case driftevent.QueryAnswered, driftevent.QueryRefused:
		return span{"query", e.Request, phaseEnd}
	case driftevent.AttemptStarted, driftevent.AttemptHedged:
		return span{"attempt", attemptID(e), phaseBegin}
	case driftevent.AttemptEnded:
		return span{"attempt", attemptID(e), phaseEnd}
	case driftevent.DispatchStarted:
		return span{"dispatch", attemptID(e), phaseBegin}
	case driftevent.DispatchEnded:
		return span{"dispatch", attemptID(e), phaseEnd}
	default:
		return span{}
	}
}
