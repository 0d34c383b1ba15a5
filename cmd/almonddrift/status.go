package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/driftstatus"
)

// errUnanswered is returned by commands when VMs did not answer.
var errUnanswered = errors.New("VMs did not answer")

// statusCommand shows the state of the fleet as each VM sees it.
type statusCommand struct {
	Peers   []string      `help:"Peer addresses of VMs to start from, IP number and port." required:""`
	Timeout time.Duration `help:"How long each VM may take to answer." default:"2s"`
	JSON    bool          `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (s *statusCommand) Help() string {
	return `Asks the given VMs and all that they list. Flags VMs whose revisions or view differ.
Exits with 1 when a VM did not answer.

Example: almonddrift status --peers 10.0.0.1:7100`
}

// Run implements the command.
func (s *statusCommand) Run(ctx context.Context, out *output) error {
	fleet := driftstatus.Gather(ctx, driftpeer.NewHTTPTransport(), s.Timeout, s.Peers)
	if err := out.print(s.JSON, fleet); err != nil {
		return err
	}
	return unresponsiveError(fleet.Unresponsive)
}

// unresponsiveError returns an error if there are VMs that did not answer.
func unresponsiveError(unresponsive []driftstatus.UnresponsiveVM) error {
	if len(unresponsive) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d", errUnanswered, len(unresponsive))
}
