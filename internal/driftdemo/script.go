package driftdemo

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// step is one step of the script. It starts after the share atShare of the
// run's time.
type step struct {
	atShare float64
	name    string
	run     func(ctx context.Context, a *audit) error
}

// steps returns the script: a failure domain is marked out and returns cold, an
// upstream leaves, a VM is replaced, and an upstream restarts cold.
func (d *Demo) steps() []step {
	out, other := d.size.Domains[0], d.size.Domains[1]
	leaving, cold := d.domainUpstream(other, 0), d.domainUpstream(other, 1)
	old := d.vms[1]
	return []step{
		{0.10, "failure domain " + out + " is marked out", func(ctx context.Context, a *audit) error {
			return d.markOut(ctx, a, out)
		}},
		{0.15, "upstream " + leaving.upstream.Name + " leaves", func(context.Context, *audit) error {
			leaving.upstream.Leave()
			leaving.published.Leaving = true
			d.publishUpstreams()
			return nil
		}},
		{0.38, "the upstreams of " + out + " restart", func(ctx context.Context, _ *audit) error {
			return d.restartDomain(ctx, out)
		}},
		{0.45, "failure domain " + out + " is back in, cold", func(ctx context.Context, a *audit) error {
			return d.markIn(ctx, a, out)
		}},
		{0.60, "VM " + old.name + " is replaced", func(ctx context.Context, _ *audit) error {
			return d.replaceVM(ctx, old)
		}},
		{0.80, "upstream " + cold.upstream.Name + " restarts cold", func(ctx context.Context, _ *audit) error {
			return cold.restart(ctx)
		}},
	}
}

// runScript starts each step at its time and waits for all of them.
func (d *Demo) runScript(ctx context.Context, length time.Duration, a *audit) error {
	group, ctx := errgroup.WithContext(ctx)
	started := time.Now()
	for _, s := range d.steps() {
		wait := time.Duration(s.atShare*float64(length)) - time.Since(started)
		if err := sleep(ctx, wait); err != nil {
			break
		}
		d.progress(fmt.Sprintf("%5.1f s  %s", time.Since(started).Seconds(), s.name))
		group.Go(func() error { return s.run(ctx, a) })
	}
	return group.Wait()
}

// domainUpstream returns the n-th upstream of a failure domain, counted from 0.
func (d *Demo) domainUpstream(domain string, n int) *fakeUpstream {
	for _, s := range d.upstreams {
		if s.published.Domain != domain {
			continue
		}
		if n == 0 {
			return s
		}
		n--
	}
	return nil
}

// markOut marks a failure domain out and checks that all VMs apply the mark.
func (d *Demo) markOut(ctx context.Context, a *audit, domain string) error {
	number := d.platform.Put(driftdocument.KeyMarks, driftdocument.Marks{Domains: []string{domain}})
	d.ledger.setOutSince(domain, time.Now())
	return d.checkMarksInForce(ctx, a, number)
}

// markIn marks a failure domain in and checks that all VMs apply the mark.
func (d *Demo) markIn(ctx context.Context, a *audit, domain string) error {
	number := d.platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	d.ledger.setOutSince(domain, time.Time{})
	return d.checkMarksInForce(ctx, a, number)
}

// checkMarksInForce checks that a revision of the marks is in force on all VMs
// after the grace period. It checks nothing if the run ends before.
func (d *Demo) checkMarksInForce(ctx context.Context, a *audit, number uint64) error {
	if time.Until(a.endsAt) < driftcheck.NewWorkGrace {
		return nil
	}
	if err := sleep(ctx, driftcheck.NewWorkGrace); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range d.servingVMs() {
		if v.process.Report().Revision(driftdocument.KeyMarks) < number {
			a.recordViolation(driftcheck.ConfigRevision, 1, fmt.Sprintf("%s has not the marks of revision %d", v.name, number))
		}
	}
	return nil
}

// restartDomain restarts all upstreams of a failure domain concurrently.
func (d *Demo) restartDomain(ctx context.Context, domain string) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range d.upstreams {
		if s.published.Domain == domain {
			group.Go(func() error { return s.restart(ctx) })
		}
	}
	return group.Wait()
}
