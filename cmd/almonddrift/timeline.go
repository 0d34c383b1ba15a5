package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/drifttimeline"
)

// timelineCommand shows the events of all VMs in causal order.
type timelineCommand struct {
	Peers   []string      `help:"Peer addresses of VMs to start from, IP number and port." required:""`
	Request string        `help:"Show only the events of this request."`
	Last    time.Duration `help:"Show only events of this long ago or less. 0 means all."`
	Timeout time.Duration `help:"How long each VM may take to answer." default:"2s"`
	Trace   string        `help:"Write a trace file as well, which a browser's trace viewer opens." type:"path"`
	JSON    bool          `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (t *timelineCommand) Help() string {
	return `Orders events causally where requests link them, and by the clocks otherwise. Names the
VMs that did not answer, and exits with 1 if there are any.

Example: almonddrift timeline --peers 10.0.0.1:7100 --request till-7-1 --trace trace.json`
}

// Run implements the command.
func (t *timelineCommand) Run(ctx context.Context, out *output) error {
	q := drifttimeline.Query{Addresses: t.Peers, Request: t.Request, Timeout: t.Timeout}
	if t.Last > 0 {
		q.Since = time.Now().Add(-t.Last)
	}
	timeline := drifttimeline.Gather(ctx, driftpeer.NewHTTPTransport(), q)
	if t.Trace != "" {
		if err := writeTrace(t.Trace, timeline); err != nil {
			return err
		}
	}
	if err := out.print(t.JSON, timeline); err != nil {
		return err
	}
	return unresponsiveError(timeline.Unresponsive)
}

func writeTrace(path string, timeline drifttimeline.Timeline) (err error) {
	defer errors.DeferredAnnotatef(&err, "writing %q", path)
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := timeline.WriteTrace(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
