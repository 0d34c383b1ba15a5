// Package driftnode connects the components of one VM: control, owner, front,
// the selector of entry VMs for callers, and the server for other VMs. It opens
// no sockets. Package driftserve connects a node to its listeners; tests run
// several nodes in virtual time with a simulated network and simulated
// upstreams.
//
// # Usage
//
//	node := driftnode.New(driftnode.Dependencies{
//		Self: self, Config: platform, Lister: platform,
//		Transport: transport, Dialer: dialer, Events: events, Checker: checker,
//	})
//	go node.Run(ctx)
//	outcome := node.Front.Query(ctx, query)
package driftnode

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftcontrol"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftowner"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/driftstatus"
	"github.com/almonddrift/almonddrift/internal/driftsteer"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// Dependencies holds the identity of a node, its connections to the outside and
// its options.
type Dependencies struct {
	Self      drifttable.VM
	Config    driftplatform.Config
	Lister    driftplatform.Lister
	Transport driftpeer.Transport
	Dialer    driftupstream.Dialer
	Events    *driftevent.Log
	Checker   *driftcheck.Checker
	// EntryListTTL is how long callers may keep the list of entry VMs.
	EntryListTTL time.Duration
	// ControlOptions configure the control plane.
	ControlOptions []driftcontrol.Option
	// FrontOptions configure the front.
	FrontOptions []driftfront.Option
}

// Node is one VM of the system, without its sockets.
type Node struct {
	Dependencies
	Control *driftcontrol.Control
	Owner   *driftowner.Owner
	Front   *driftfront.Front
	Steer   *driftsteer.EntrySelector
	Server  *driftpeer.Server

	peerRequests *countedHandler
}

// New returns a node. Run starts it.
func New(d Dependencies) *Node {
	n := &Node{Dependencies: d}
	n.Control = driftcontrol.New(d.Self, d.Config, d.Lister, d.Transport, d.Events, d.Checker, d.ControlOptions...)
	views := n.Control.Views()
	handover := driftpeer.NewHandoverClient(views, d.Transport)
	relay := driftpeer.NewRouter(views, nil, d.Transport, n.Control)
	n.Owner = driftowner.New(
		views, d.Dialer, handover, n.Control, d.Events, d.Checker, driftowner.WithRelay(relay),
		driftowner.WithMaxViewAge(driftcontrol.MaxOwnerViewAge),
	)
	router := driftpeer.NewRouter(views, n.Owner, d.Transport, n.Control)
	n.Front = driftfront.New(views, router, d.Events, d.Checker, d.FrontOptions...)
	n.Steer = driftsteer.New(views, d.EntryListTTL)
	n.peerRequests = &countedHandler{next: n.Owner}
	n.Server = driftpeer.NewServer(
		d.Self.Name, d.Self.Incarnation, n.Control, n.peerRequests, n.Owner, d.Events, n,
	)
	return n
}

// Run runs the node until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.Control.Run(ctx) })
	group.Go(func() error {
		n.Owner.Run(ctx)
		return nil
	})
	group.Go(func() error {
		n.Front.Run(ctx)
		return nil
	})
	return group.Wait()
}

// Views returns the holder of the latest view.
func (n *Node) Views() *drifttable.ViewHolder {
	return n.Control.Views()
}

// Status returns the status report of this VM.
func (n *Node) Status() driftstatus.Report {
	s := driftstatus.Sources{
		View: n.Views().Load(), Incarnation: n.Self.Incarnation, Violations: n.Checker.Violations(),
	}
	if r, ok := any(n.Owner).(driftshard.UpstreamReporter); ok {
		s.UpstreamStatuses = r.UpstreamStatuses()
	}
	return driftstatus.NewReport(s, time.Now())
}

// Report returns the status report as JSON. It implements driftpeer.Reporter.
func (n *Node) Report() []byte {
	body, err := json.Marshal(n.Status())
	if err != nil {
		return []byte("{}")
	}
	return body
}
