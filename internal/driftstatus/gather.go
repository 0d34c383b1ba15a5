package driftstatus

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftpeer"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Fleet holds the reports of the VMs that answered and the VMs that did not,
// both sorted by name, and how the reports differ.
type Fleet struct {
	Reports      []VMReport       `json:"reports"`
	Unresponsive []UnresponsiveVM `json:"silent"`
	Differences  []Difference     `json:"differs"`
}

// VMReport is the report of one VM and the address that it was requested from.
type VMReport struct {
	Address string `json:"address"`
	Report  Report `json:"report"`
}

// UnresponsiveVM is a VM that did not answer. Name is empty when no report names
// the VM at that address.
type UnresponsiveVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Gather requests the reports of the VMs at the given peer addresses, then those
// of all VMs listed in them, until no new VM is listed. The timeout applies to
// each VM.
func Gather(ctx context.Context, peers driftpeer.Transport, timeout time.Duration, addresses []string) Fleet {
	g := &gatherer{
		peers: peers, timeout: timeout, namesByAddress: make(map[string]string),
		fleet: Fleet{Reports: []VMReport{}, Unresponsive: []UnresponsiveVM{}},
	}
	for _, a := range addresses {
		g.addAddress("", a)
	}
	for len(g.pendingAddresses) > 0 {
		g.requestPendingReports(ctx)
	}
	slices.SortFunc(g.fleet.Reports, func(a, b VMReport) int { return strings.Compare(a.Report.Name, b.Report.Name) })
	slices.SortFunc(g.fleet.Unresponsive, func(a, b UnresponsiveVM) int { return strings.Compare(a.Name, b.Name) })
	g.fleet.Differences = Compare(g.fleet.Reports)
	return g.fleet
}

// gatherer is the state of one Gather call. It is used by one goroutine only.
type gatherer struct {
	peers   driftpeer.Transport
	timeout time.Duration
	// namesByAddress holds the names of all VMs found, empty where unknown.
	namesByAddress   map[string]string
	pendingAddresses []string
	fleet            Fleet
}

// addAddress queues an address that is new, and records the name of the VM.
func (g *gatherer) addAddress(name, address string) {
	known, found := g.namesByAddress[address]
	if known == "" {
		g.namesByAddress[address] = name
	}
	if !found {
		g.pendingAddresses = append(g.pendingAddresses, address)
	}
}

// requestPendingReports requests the reports of all pending addresses concurrently.
func (g *gatherer) requestPendingReports(ctx context.Context) {
	asked := g.pendingAddresses
	g.pendingAddresses = nil
	replies := make([]statusReply, len(asked))
	var group sync.WaitGroup
	for i, address := range asked {
		group.Go(func() { replies[i] = g.requestReport(ctx, address) })
	}
	group.Wait()
	for i, address := range asked {
		if replies[i].err != nil {
			g.fleet.Unresponsive = append(g.fleet.Unresponsive, UnresponsiveVM{
				Name: g.namesByAddress[address], Address: address, Error: errors.Cause(replies[i].err).Error(),
			})
			continue
		}
		g.fleet.Reports = append(g.fleet.Reports, VMReport{Address: address, Report: replies[i].report})
		for _, vm := range replies[i].report.VMs {
			g.addAddress(vm.Name, vm.Peers)
		}
	}
}

// statusReply is the answer of one VM, or the error of the request.
type statusReply struct {
	report Report
	err    error
}

func (g *gatherer) requestReport(ctx context.Context, address string) (r statusReply) {
	defer errors.DeferredAnnotatef(&r.err, "requesting the report of %s", address)
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	answer, err := g.peers.UnpooledPeer(address).Status(ctx, &pb.StatusRequest{})
	if err != nil {
		return statusReply{err: err}
	}
	r.err = json.Unmarshal(answer.GetReport(), &r.report)
	return r
}
