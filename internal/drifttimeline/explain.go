package drifttimeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// contextWindow is how far before the end of a request other events are
// included.
const contextWindow = 3 * time.Second

// maxContextEvents is the largest number of other events that are included.
const maxContextEvents = 20

// Explanation is what the logs of a fleet say about one request.
type Explanation struct {
	// Events are the events of the request on all VMs, ordered by time.
	Events []driftevent.Event `json:"lines"`
	// Context is the events shortly before the end of the request that concern
	// the same VM, or an upstream that the request names.
	Context []driftevent.Event `json:"context"`
	// Cause states why the request ended as it did.
	Cause string `json:"cause"`
}

// causeByOutcome explains the outcome of a request, which is the first word of
// the detail of events 220 and 221.
var causeByOutcome = map[string]string{
	"served":   "It was answered completely.",
	"passed":   "The upstream answered with a failure, which was passed on unchanged. If a VM is named after 'through', that VM's own log line for the request says why.",
	"partial":  "It was answered in time with enough parts, but not all. The shards listed after the semicolons had not answered; the attempts are listed for each.",
	"noconfig": "The VM had no configuration yet: it had just started, and neither the platform nor another VM had answered.",
	"noroute":  "No route of the named version matches the host and path, and the view was recent enough to rule one out.",
	"stale":    "No route matched, or the key was not known, but the view was too old to rule them out. Check whether the VM had lost the platform.",
	"nokey":    "Its route needs the key of a client account, and the named version knows no such key, or it had none. The view was recent enough to rule it out.",
	"noname":   "Another VM forwarded it for a client account that this VM does not know: their versions differed. It did not run.",
	"limit":    "Its client account had reached its limit over all VMs. It did not run.",
	"nowhere":  "No upstream could accept it, so it was refused at once and did not run, or too many shards were lost for an answer.",
	"full":     "The VM was already serving as many requests as its limit allows.",
	"noroom":   "No memory was left for its body, which was not read to its end.",
	"refused":  "The upstreams refused it without running it.",
	"unknown":  "It was sent, but no complete answer came back. It may have run, and either may not be repeated or has no attempts left.",
	"timeout":  "Its deadline passed before enough shards had answered.",
	"left":     "The caller disconnected before there was an answer.",
	"stopping": "The VM was told to stop. With status 503 the request was refused, as it would not end before the VM does, and did not run; otherwise it had not ended in time and may have run.",
	"cut":      "The VM stopped and closed the connection. The request may have run if it was sent to an upstream.",
}

// Explain reads the log lines of any number of VMs and returns what they say
// about the request. Text before the JSON object of a line is skipped.
func Explain(logs io.Reader, request string) (e Explanation, err error) {
	defer errors.DeferredAnnotatef(&err, "request %q", request)
	var others []driftevent.Event
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		event, ok := parseLogLine(scanner.Text())
		switch {
		case !ok:
		case event.Request == request:
			e.Events = append(e.Events, event)
		case event.Request == "":
			others = append(others, event)
		}
	}
	if err := scanner.Err(); err != nil {
		return e, err
	}
	if len(e.Events) == 0 {
		return e, errors.NotFoundf("log line")
	}
	slices.SortStableFunc(e.Events, func(a, b driftevent.Event) int { return a.Time.Compare(b.Time) })
	last := e.Events[len(e.Events)-1]
	outcome, _, _ := strings.Cut(last.Detail, " ")
	e.Cause = cmp.Or(causeByOutcome[outcome], "The last log line says: "+last.Detail)
	e.Context = contextEvents(last, others)
	return e, nil
}

// contextEvents returns the newest events before the last event of the request
// that concern its VM, or an upstream named in its detail.
func contextEvents(last driftevent.Event, others []driftevent.Event) []driftevent.Event {
	nearby := slices.DeleteFunc(others, func(o driftevent.Event) bool {
		before := last.Time.Sub(o.Time)
		named := o.Subject != "" && strings.Contains(last.Detail, o.Subject)
		return before < 0 || before > contextWindow || (o.VM != last.VM && !named)
	})
	slices.SortStableFunc(nearby, func(a, b driftevent.Event) int { return a.Time.Compare(b.Time) })
	return nearby[max(0, len(nearby)-maxContextEvents):]
}

// parseLogLine parses a line in the JSON format of logrus.
func parseLogLine(line string) (event driftevent.Event, ok bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return event, false
	}
	var fields struct {
		Event       driftevent.Code `json:"event"`
		Name        string          `json:"name"`
		VM          string          `json:"vm"`
		Incarnation uint64          `json:"boot"`
		Sequence    uint64          `json:"sequence"`
		Request     string          `json:"request"`
		Subject     string          `json:"subject"`
		Message     string          `json:"msg"`
		Time        time.Time       `json:"time"`
	}
	if json.Unmarshal([]byte(line[start:]), &fields) != nil || fields.Event == 0 {
		return event, false
	}
	return driftevent.Event{
		VM: fields.VM, Incarnation: fields.Incarnation, Sequence: fields.Sequence, Time: fields.Time, Code: fields.Event,
		Name: fields.Name, Request: fields.Request, Subject: fields.Subject, Detail: fields.Message,
	}, true
}

// Write writes the explanation as text.
func (e Explanation) Write(w io.Writer) error {
	var b strings.Builder
	write := func(title string, events []driftevent.Event) {
		fmt.Fprintf(&b, "%s\n", title)
		for _, event := range events {
			fmt.Fprintf(&b, "  %s %s %d %s [%s] %s\n", event.Time.Format("15:04:05.000"), event.VM,
				event.Code, event.Name, event.Subject, event.Detail)
		}
	}
	write("request", e.Events)
	if len(e.Context) > 0 {
		write("just before", e.Context)
	}
	fmt.Fprintf(&b, "cause\n  %s\n", e.Cause)
	_, err := io.WriteString(w, b.String())
	return err
}
