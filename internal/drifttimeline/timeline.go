// Package drifttimeline gathers the events that all VMs keep and orders them
// into one timeline of the fleet.
//
// The clocks of VMs differ, so events are ordered causally where possible:
// within a VM by sequence number, and between VMs along each attempt, from its
// start at the front, through its dispatch at the owner, to its end at the
// front. Events without such a link are ordered by the clocks.
//
// # Usage
//
//	timeline := drifttimeline.Gather(ctx, transport, drifttimeline.Query{
//		Addresses: []string{"10.0.0.1:7100"}, Request: "till-7-1", Timeout: 2 * time.Second,
//	})
//	err := timeline.Write(os.Stdout)
package drifttimeline

import (
	"context"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftstatus"
)

// Timeline holds the ordered events of all VMs that answered, and the VMs that
// did not answer.
type Timeline struct {
	Events       []driftevent.Event           `json:"events"`
	VMs          []string                     `json:"vms"`
	Unresponsive []driftstatus.UnresponsiveVM `json:"silent"`
}

// Query selects the events to gather.
type Query struct {
	// Addresses are the peer addresses of the VMs from which the others are found.
	Addresses []string
	// Request limits the events to those of one request, unless it is empty.
	Request string
	// Since limits the events to those at or after it, unless it is zero.
	Since time.Time
	// Timeout limits how long each VM may take to answer.
	Timeout time.Duration
}

// Gather requests the events of all VMs that can be found from the addresses.
func Gather(ctx context.Context, peers driftpeer.Transport, q Query) Timeline {
	fleet := driftstatus.Gather(ctx, peers, q.Timeout, q.Addresses)
	t := Timeline{VMs: []string{}, Unresponsive: fleet.Unresponsive}
	replies := make([]timelineReply, len(fleet.Reports))
	var group sync.WaitGroup
	for i, m := range fleet.Reports {
		group.Go(func() { replies[i] = requestEvents(ctx, peers, q, m.Address) })
	}
	group.Wait()
	var events []driftevent.Event
	for i, m := range fleet.Reports {
		if err := replies[i].err; err != nil {
			t.Unresponsive = append(t.Unresponsive, driftstatus.UnresponsiveVM{
				Name: m.Report.Name, Address: m.Address, Error: err.Error(),
			})
			continue
		}
		t.VMs = append(t.VMs, m.Report.Name)
		events = append(events, replies[i].events...)
	}
	t.Events = Order(events)
	return t
}

// timelineReply is the answer of one VM, or the error of the request.
type timelineReply struct {
	events []driftevent.Event
	err    error
}

func requestEvents(ctx context.Context, peers driftpeer.Transport, q Query, address string) timelineReply {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	request := &pb.TimelineRequest{Request: q.Request}
	if !q.Since.IsZero() {
		request.Since = q.Since.UnixMicro()
	}
	answer, err := peers.UnpooledPeer(address).Timeline(ctx, request)
	if err != nil {
		return timelineReply{err: err}
	}
	events := make([]driftevent.Event, 0, len(answer.GetEvents()))
	for _, e := range answer.GetEvents() {
		events = append(events, eventFromWire(e))
	}
	return timelineReply{events: events}
}

func eventFromWire(w *pb.Event) driftevent.Event {
	code := driftevent.Code(w.GetCode())
	return driftevent.Event{
		VM: w.GetVm(), Incarnation: w.GetBoot(), Sequence: w.GetSequence(), Time: time.UnixMicro(w.GetTime()),
		Code: code, Name: code.Name(), Request: w.GetRequest(), Subject: w.GetSubject(), Detail: w.GetDetail(),
	}
}
