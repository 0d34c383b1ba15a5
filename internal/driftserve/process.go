// Package driftserve runs one VM as a process: a node with its control, front
// and owner, and the listeners for callers, other VMs and operators.
//
// # Usage
//
//	process := driftserve.New(settings, driftserve.WithLogger(logger))
//	err := process.Start(ctx)
//	defer process.Stop(ctx)
package driftserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
	"github.com/almonddrift/almonddrift/internal/driftstatus"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// Process is one VM of the system, with its listeners.
type Process struct {
	settings     driftsettings.Settings
	logger       *logrus.Logger
	frontOptions []driftfront.Option
	incarnation  uint64
	app          *fx.App

	listeners listeners
	events    *driftevent.Log
	checker   *driftcheck.Checker
	node      *driftnode.Node
}

// Option configures a Process.
type Option func(*Process)

// WithLogger sets the logger. By default a process logs JSON to standard error.
func WithLogger(logger *logrus.Logger) Option {
	return func(p *Process) { p.logger = logger }
}

// WithFrontOptions passes options to the front.
func WithFrontOptions(opts ...driftfront.Option) Option {
	return func(p *Process) { p.frontOptions = opts }
}

// listeners holds the sockets of a process. They are opened before the node is
// built, since the node needs the ports that the system assigns for port 0.
type listeners struct {
	callers, peers, ops net.Listener
}

// Addresses holds the addresses that a process listens on.
type Addresses struct {
	Callers, Peers, Ops string
}

// New returns a process with the given settings. Start runs it.
func New(settings driftsettings.Settings, opts ...Option) *Process {
	p := &Process{settings: settings, incarnation: uint64(time.Now().UnixNano())}
	for _, opt := range opts {
		opt(p)
	}
	if p.logger == nil {
		p.logger = logrus.New()
		p.logger.SetFormatter(&logrus.JSONFormatter{})
		if level, err := logrus.ParseLevel(settings.Log); err == nil {
			p.logger.SetLevel(level)
		}
	}
	return p
}

// Listen opens the sockets, so that Addresses can be called before Start.
func (p *Process) Listen(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "opening the listeners of VM %q", p.settings.Name)
	var config net.ListenConfig
	if p.listeners.callers, err = config.Listen(ctx, "tcp", p.settings.Callers); err != nil {
		return err
	}
	if p.listeners.peers, err = config.Listen(ctx, "tcp", p.settings.Peers); err != nil {
		return err
	}
	p.listeners.ops, err = config.Listen(ctx, "tcp", p.settings.Ops)
	return err
}

// Addresses returns the addresses that the process listens on. Call it after Listen.
func (p *Process) Addresses() Addresses {
	return Addresses{
		Callers: p.listeners.callers.Addr().String(),
		Peers:   p.listeners.peers.Addr().String(),
		Ops:     p.listeners.ops.Addr().String(),
	}
}

// Start runs the process until Stop. It calls Listen unless the
// sockets are already open.
func (p *Process) Start(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "starting VM %q", p.settings.Name)
	if p.listeners.callers == nil {
		if err := p.Listen(ctx); err != nil {
			return err
		}
	}
	p.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(p, p.settings),
		fx.Provide(
			newRegistry, newEvents, newChecker, newPlatform, newTransport, newDialer,
			newNode, newIntake, newCallersHandler, newPeersHandler, newOpsHandler,
		),
		fx.Invoke(runNode, runListeners),
	)
	if err := p.app.Err(); err != nil {
		return err
	}
	return p.app.Start(ctx)
}

// Stop shuts the process down gracefully: it announces that the VM is leaving,
// waits until callers have switched to other VMs and the requests in flight
// have ended, and stops.
func (p *Process) Stop(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "stopping VM %q", p.settings.Name)
	if err := p.node.Leave(ctx); err != nil {
		return errors.Annotate(errors.Wrap(err, p.app.Stop(context.WithoutCancel(ctx))), "requests interrupted")
	}
	return p.app.Stop(ctx)
}

// Checker returns the checker of the invariants, for reports and tests.
func (p *Process) Checker() *driftcheck.Checker {
	return p.checker
}

// Report returns the status report of the VM.
func (p *Process) Report() driftstatus.Report {
	return p.node.Status()
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

func newEvents(p *Process) *driftevent.Log {
	p.events = driftevent.NewLog(p.settings.Name, p.incarnation, driftevent.WithLogger(p.logger))
	return p.events
}

func newChecker(p *Process, events *driftevent.Log) *driftcheck.Checker {
	p.checker = driftcheck.NewChecker(events)
	return p.checker
}

// platformTimeout bounds a request to the platform. It is longer than a watch
// request may take.
const platformTimeout = time.Minute

func newPlatform(s driftsettings.Settings) *driftplatform.HTTPPlatform {
	client := &http.Client{Timeout: platformTimeout}
	return driftplatform.NewHTTPPlatform("http://"+s.Platform, client)
}

func newTransport(lifecycle fx.Lifecycle) driftpeer.Transport {
	transport := driftpeer.NewHTTPTransport()
	lifecycle.Append(fx.StopHook(transport.Close))
	return transport
}

func newDialer() driftupstream.Dialer {
	return driftupstream.NewHTTPDialer()
}

func newNode(
	p *Process, platform *driftplatform.HTTPPlatform, transport driftpeer.Transport,
	dialer driftupstream.Dialer, events *driftevent.Log, checker *driftcheck.Checker,
) *driftnode.Node {
	a := p.Addresses()
	p.node = driftnode.New(driftnode.Dependencies{
		Self: drifttable.VM{
			Name: p.settings.Name, Domain: p.settings.Domain, Incarnation: p.incarnation,
			Callers: a.Callers, Peers: a.Peers,
		},
		Config: platform, Lister: platform, Transport: transport, Dialer: dialer,
		Events: events, Checker: checker, EntryListTTL: time.Duration(p.settings.EntryListTTL),
		FrontOptions: p.frontOptions,
	})
	return p.node
}
