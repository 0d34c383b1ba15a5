// Package driftnode puts the parts of one VM together without sockets:
// control, owner, front, the answers to other VMs and to callers. The
// process wires it to listeners; tests run several nodes in virtual time
// over stand-ins.
//
// # Usage
//
//	node := driftnode.New(driftnode.Parts{
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

// Parts is what a node is made of and what lies outside it.
type Parts struct {
	Self      drifttable.VM
	Config    driftplatform.Config
	Lister    driftplatform.Lister
	Transport driftpeer.Transport
	Dialer    driftupstream.Dialer
	Events    *driftevent.Log
	Checker   *driftcheck.Checker
	// Life is how long callers may keep the list of entry VMs.
	Life time.Duration
	// ControlOptions change the control plane.
	ControlOptions []driftcontrol.Option
	// FrontOptions change the policies of the front.
	FrontOptions []driftfront.Option
}

// Node is one VM of the system without its sockets.
type Node struct {
	Parts
	Control *driftcontrol.Control
	Owner   *driftowner.Owner
	Front   *driftfront.Front
	Steer   *driftsteer.EntrySelector
	Server  *driftpeer.Server

	served *countedHandler
}

// New returns a node. Run starts it.
func New(p Parts) *Node {
	n := &Node{Parts: p}
	n.Control = driftcontrol.New(p.Self, p.Config, p.Lister, p.Transport, p.Events, p.Checker, p.ControlOptions...)
	views := n.Control.Views()
	handover := driftpeer.NewHandoverClient(views, p.Transport)
	relay := driftpeer.NewRouter(views, nil, p.Transport, n.Control)
	n.Owner = driftowner.New(
		views, p.Dialer, handover, n.Control, p.Events, p.Checker, driftowner.WithRelay(relay),
		driftowner.WithMaxViewAge(driftcontrol.MaxOwnerViewAge),
	)
	router := driftpeer.NewRouter(views, n.Owner, p.Transport, n.Control)
	n.Front = driftfront.New(views, router, p.Events, p.Checker, p.FrontOptions...)
	n.Steer = driftsteer.New(views, p.Life)
	n.served = &countedHandler{next: n.Owner}
	n.Server = driftpeer.NewServer(
		p.Self.Name, p.Self.Incarnation, n.Control, n.served, n.Owner, p.Events, n,
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

// Views returns the holder of the newest view.
func (n *Node) Views() *drifttable.ViewHolder {
	return n.Control.Views()
}

// Status returns what this VM sees.
func (n *Node) Status() driftstatus.Report {
	s := driftstatus.Sources{
		View: n.Views().Load(), Boot: n.Self.Incarnation, Violations: n.Checker.Violations(),
	}
	if r, ok := any(n.Owner).(driftshard.UpstreamReporter); ok {
		s.Lanes = r.UpstreamStatuses()
	}
	return driftstatus.NewReport(s, time.Now())
}

// Report implements driftpeer.Reporter.
func (n *Node) Report() []byte {
	body, err := json.Marshal(n.Status())
	if err != nil {
		return []byte("{}")
	}
	return body
}
