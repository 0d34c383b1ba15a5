package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdemo"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// errInvariantViolated is returned by a demo that found a violated invariant.
var errInvariantViolated = errors.New("a promise was violated")

// demoCommand runs a small fleet in one process.
type demoCommand struct {
	User    string  `help:"Whose fleet: ${enum}." enum:"oshana,tacada" default:"oshana"`
	Seconds float64 `help:"How long callers run. 0 with --hold runs none." default:"12"`
	JSON    bool    `help:"Print one JSON object."`
	Hold    bool    `help:"Go on serving after the run, until interrupted, and print the addresses."`
}

// Help implements kong.HelpProvider.
func (d *demoCommand) Help() string {
	return `Runs 8 VMs, stand-in upstreams and a stand-in platform in this process, on loopback.
Callers run five classes of work while a failure domain is marked out and back in, an
upstream leaves, a VM is replaced and an upstream restarts cold.

Example: almonddrift demo --user tacada --seconds 20`
}

// Validate implements kong's validation of flags.
func (d *demoCommand) Validate() error {
	const maxSeconds = 3600
	switch {
	case d.Seconds < 0 || d.Seconds > maxSeconds:
		return fmt.Errorf("--seconds: value %g is not valid (allowed: 0 to %d)", d.Seconds, maxSeconds)
	case d.Seconds == 0 && !d.Hold:
		return errors.New("--seconds: value 0 is not valid (allowed: above 0, or 0 with --hold)")
	}
	return nil
}

// Run implements the command.
func (d *demoCommand) Run(ctx context.Context, out *output) (err error) {
	size := driftfake.Oshana()
	if d.User == "tacada" {
		size = driftfake.Tacada()
	}
	demo := driftdemo.New(size, driftdemo.WithProgress(out.progress))
	if err := demo.Start(ctx); err != nil {
		return err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		err = errors.Join(err, demo.Stop(stopCtx))
	}()
	if d.Seconds > 0 {
		err = d.runCallers(ctx, demo, out)
	}
	if d.Hold && ctx.Err() == nil {
		d.serveUntilDone(ctx, demo, out)
	}
	return err
}

// runCallers runs the callers and prints a report of their queries.
func (d *demoCommand) runCallers(ctx context.Context, demo *driftdemo.Demo, out *output) error {
	report, err := demo.Run(ctx, time.Duration(d.Seconds*float64(time.Second)))
	if err != nil {
		return err
	}
	if err := out.print(d.JSON, report); err != nil {
		return err
	}
	return violationError(report)
}

// violationError returns errInvariantViolated if the report counts a violation.
func violationError(r driftdemo.Report) error {
	if r.Violations.Total() > 0 {
		return errInvariantViolated
	}
	return nil
}

// serveUntilDone prints the fleet's addresses and waits until ctx is done.
func (d *demoCommand) serveUntilDone(ctx context.Context, demo *driftdemo.Demo, out *output) {
	w := out.stdout
	if d.JSON {
		w = out.stderr
	}
	writeAddresses(w, demo)
	<-ctx.Done()
}

func writeAddresses(w io.Writer, demo *driftdemo.Demo) {
	addresses := demo.Addresses()
	for i, a := range addresses {
		fmt.Fprintf(w, "VM %d  callers %s  peers %s  ops %s\n", i+1, a.Callers, a.Peers, a.Ops)
	}
	first := addresses[0]
	fmt.Fprintf(w, `
Try it:
curl -s http://%s%s -d '{"request":"r-1","class":"counter","text":"church","deadline":1000}'
almonddrift query --entry %s --class fire --text church --explain
almonddrift status --peers %s
almonddrift timeline --peers %s --request r-1
Interrupt to stop.
`, first.Callers, driftapi.PathQuery, first.Callers, first.Peers, first.Peers)
}
