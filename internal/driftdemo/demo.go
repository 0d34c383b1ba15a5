// Package driftdemo runs a small fleet in one process: a fake platform, fake
// upstreams on loopback, and the VMs of the system with their real listeners.
// Callers send queries of several classes while a script takes components out
// of service and brings them back.
//
// The violations that it reports come from the checks inside the program and
// from an independent audit of what the fake upstreams and the callers record.
//
// # Usage
//
//	demo := driftdemo.New(driftfake.Oshana())
//	err := demo.Start(ctx)
//	defer demo.Stop(ctx)
//	report, err := demo.Run(ctx, 12*time.Second)
package driftdemo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftserve"
)

// vmCount is the number of entry VMs in the fleet.
const vmCount = 8

// Demo is a fleet of VMs, fake upstreams and a fake platform in one process.
type Demo struct {
	size             driftfake.ServiceSpec
	logger           *logrus.Logger
	progress         func(line string)
	ledger           *ledger
	platform         *driftfake.Platform
	platformListener listener
	upstreams        []*fakeUpstream

	mu  sync.Mutex
	vms []*vm
}

// Option configures a Demo.
type Option func(*Demo)

// WithProgress sets a function that is called with one line for each step of
// the script.
func WithProgress(progress func(line string)) Option {
	return func(d *Demo) { d.progress = progress }
}

// WithLogger sets the logger of all VMs. By default they log nothing.
func WithLogger(logger *logrus.Logger) Option {
	return func(d *Demo) { d.logger = logger }
}

// New returns a demo of the given size.
func New(size driftfake.ServiceSpec, opts ...Option) *Demo {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d := &Demo{
		size: size, logger: logger, progress: func(string) {},
		ledger: newLedger(), platform: driftfake.NewPlatform(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.upstreams = newFakeUpstreams(size, 1, d.ledger)
	d.platformListener.handler = d.platform
	return d
}

// Start starts the fake upstreams, the fake platform and the VMs, and waits
// until all VMs are ready.
func (d *Demo) Start(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "starting the demo")
	for _, s := range d.upstreams {
		if err := s.open(ctx); err != nil {
			return err
		}
		s.published.Address = s.address
	}
	if err := d.platformListener.open(ctx); err != nil {
		return err
	}
	d.publish()
	return d.startVMs(ctx)
}

// publish publishes all configuration documents, with one additional class
// that searches a single depot.
func (d *Demo) publish() {
	d.platform.Put(driftdocument.KeyDomains, d.size.DomainsDocument())
	d.platform.Put(driftdocument.KeyClasses, classesDocument(d.size))
	d.platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	d.publishUpstreams()
	d.platform.Put(driftdocument.KeyVersionsPrefix+d.size.Service, d.size.VersionsDocument(1))
}

// publishUpstreams publishes the current state of the upstreams.
func (d *Demo) publishUpstreams() {
	document := driftdocument.Upstreams{Service: d.size.Service}
	for _, s := range d.upstreams {
		document.Upstreams = append(document.Upstreams, s.published)
	}
	d.platform.Put(driftdocument.KeyUpstreamsPrefix+d.size.Service, document)
}

// Run runs the callers and the script for the given time and returns a report.
func (d *Demo) Run(ctx context.Context, length time.Duration) (r Report, err error) {
	defer errors.DeferredAnnotatef(&err, "running the demo")
	started := time.Now()
	d.ledger.setRecording(true)
	defer d.ledger.setRecording(false)
	a := newAudit(d.size, d.ledger, started.Add(length))
	callers := newCallers(d, a)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runScript(ctx, length, a) })
	for _, c := range callers {
		group.Go(func() error {
			c.run(ctx, a.endsAt)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	d.collectFinalCounts(a)
	return newReport(a, time.Since(started)), nil
}

// Entries returns the addresses that callers may connect to.
func (d *Demo) Entries() []string {
	var entries []string
	for _, a := range d.Addresses() {
		entries = append(entries, a.Callers)
	}
	return entries
}

// Addresses returns the listen addresses of all serving VMs.
func (d *Demo) Addresses() []driftserve.Addresses {
	var addresses []driftserve.Addresses
	for _, v := range d.servingVMs() {
		addresses = append(addresses, v.process.Addresses())
	}
	return addresses
}

// Stop stops the VMs, the fake upstreams and the fake platform.
func (d *Demo) Stop(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "stopping the demo")
	if err := d.stopVMs(ctx); err != nil {
		return err
	}
	for _, s := range d.upstreams {
		if err := s.close(); err != nil {
			return err
		}
	}
	return d.platformListener.close()
}
