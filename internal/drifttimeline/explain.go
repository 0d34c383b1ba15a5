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

// contextWindow is how long before the end of a request other events are shown.
const contextWindow = 3 * time.Second

// maxContextEvents is the number of other events that are shown.
const maxContextEvents = 20

// Explanation is what the logs of a fleet tell of one request.
type Explanation struct {
	// Events are the events of the request over all VMs, in order.
	Events []driftevent.Event `json:"lines"`
	// Context are events of the same VM just before, or of upstreams that the
	// request names.
	Context []driftevent.Event `json:"context"`
	// Cause says in a sentence why the request ended as it did.
	Cause string `json:"cause"`
}

// causeByOutcome explain the first word of the detail of events 220 and 221.
var causeByOutcome = map[string]string{
	"served":   "It was served whole.",
	"passed":   "The upstream answered with a failure, which was passed on unchanged. If a VM is named after 'through', its own line of the request says why.",
	"partial":  "It was answered in time with enough parts. The shards behind the semicolons had not answered: what was tried is listed for each.",
	"noconfig": "The VM had no configuration yet: it had just started and neither the platform nor another VM had answered.",
	"noroute":  "No route of the version named matches host and path, and the view was recent enough to say so.",
	"stale":    "No route matched, but the view was too old to say so: see whether the platform was lost.",
	"nowhere":  "No upstream could take it, so that it was refused at once and did not run, or too many shards were lost for an answer.",
	"full":     "The VM served as many requests as it may.",
	"refused":  "The upstreams refused it without running it.",
	"unknown":  "It was sent and no whole answer came back. It may have run, and may not be repeated, or its attempts were spent.",
	"timeout":  "Its time was over before enough had answered.",
	"left":     "The caller left before there was an answer.",
}

// Explain reads the log lines of any number of VMs and gathers what they tell
// of the request. Text before the JSON of a line is skipped.
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
		return e, errors.NotFoundf("line")
	}
	slices.SortStableFunc(e.Events, func(a, b driftevent.Event) int { return a.Time.Compare(b.Time) })
	last := e.Events[len(e.Events)-1]
	word, _, _ := strings.Cut(last.Detail, " ")
	e.Cause = cmp.Or(causeByOutcome[word], "The last line says: "+last.Detail)
	e.Context = contextEvents(last, others)
	return e, nil
}

// contextEvents returns the newest events before the end of the request that
// concern its VM or an upstream that it names.
func contextEvents(last driftevent.Event, others []driftevent.Event) []driftevent.Event {
	around := slices.DeleteFunc(others, func(o driftevent.Event) bool {
		before := last.Time.Sub(o.Time)
		named := o.Subject != "" && strings.Contains(last.Detail, o.Subject)
		return before < 0 || before > contextWindow || (o.VM != last.VM && !named)
	})
	slices.SortStableFunc(around, func(a, b driftevent.Event) int { return a.Time.Compare(b.Time) })
	return around[max(0, len(around)-maxContextEvents):]
}

// parseLogLine reads a line of logrus' JSON.
func parseLogLine(line string) (event driftevent.Event, ok bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return event, false
	}
	var fields struct {
		Event    driftevent.Code `json:"event"`
		Name     string          `json:"name"`
		VM       string          `json:"vm"`
		Boot     uint64          `json:"boot"`
		Sequence uint64          `json:"sequence"`
		Request  string          `json:"request"`
		Subject  string          `json:"subject"`
		Message  string          `json:"msg"`
		Time     time.Time       `json:"time"`
	}
	if json.Unmarshal([]byte(line[start:]), &fields) != nil || fields.Event == 0 {
		return event, false
	}
	return driftevent.Event{
		VM: fields.VM, Incarnation: fields.Boot, Sequence: fields.Sequence, Time: fields.Time, Code: fields.Event,
		Name: fields.Name, Request: fields.Request, Subject: fields.Subject, Detail: fields.Message,
	}, true
}

// Write prints the explanation.
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
