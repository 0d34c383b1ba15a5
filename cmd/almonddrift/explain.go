package main

import (
	"os"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/drifttimeline"
)

// explainCommand explains the outcome of a request from the logs of a fleet.
type explainCommand struct {
	Log     string `help:"File with the log lines of all VMs." type:"existingfile" required:""`
	JSON    bool   `help:"Print JSON."`
	Request string `arg:"" help:"The request's id."`
}

// Help implements kong.HelpProvider.
func (e *explainCommand) Help() string {
	return `Prints the log lines of the request from all VMs and related events from shortly before its
end, and explains why it ended as it did. Exits with 1 if no line has the id.

Example: almonddrift explain --log fleet.log 9c41d07be2a35f68`
}

// Run implements the command.
func (e *explainCommand) Run(out *output) (err error) {
	defer errors.DeferredAnnotatef(&err, "reading %q", e.Log)
	file, err := os.Open(e.Log)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	explanation, err := drifttimeline.Explain(file, e.Request)
	if err != nil {
		return err
	}
	return out.print(e.JSON, explanation)
}
