package driftdemo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftserve"
	"github.com/almonddrift/almonddrift/internal/driftsettings"
)

// Times of the fleet, shorter than in production to suit a short demo.
const (
	// entryListTTL is how long callers may use a list of entry VMs.
	entryListTTL = time.Second
	// vmListLag is the delay with which the platform shows changes of the VM
	// list.
	vmListLag = 500 * time.Millisecond
	// ownershipSettleTime is how long VMs may disagree on which VM runs a
	// non-idempotent request, plus the longest deadline of such a request.
	ownershipSettleTime = driftcheck.NewWorkGrace + nonIdempotentDeadline
	// readyPollInterval is the time between two readiness checks of a VM.
	readyPollInterval = 10 * time.Millisecond
)

// vm is an entry VM of the demo.
type vm struct {
	name    string
	domain  string
	process *driftserve.Process
	leaving bool
	stopped bool
}

// listEntry returns the VM's entry in the list that the platform publishes.
func (v *vm) listEntry() driftplatform.ListedVM {
	a := v.process.Addresses()
	return driftplatform.ListedVM{
		Name: v.name, Domain: v.domain, Callers: a.Callers, Peers: a.Peers, Leaving: v.leaving,
	}
}

// addVM creates a VM and opens its listeners, without starting it.
func (d *Demo) addVM(ctx context.Context, domain string) (v *vm, err error) {
	name := fmt.Sprintf("vm-%d", len(d.vms)+1)
	p := driftserve.New(driftsettings.Settings{
		Name: name, Domain: domain, Callers: anyPort, Peers: anyPort, Ops: anyPort,
		Platform: d.platformListener.address, EntryListTTL: driftdocument.Duration(entryListTTL),
	}, driftserve.WithLogger(d.logger), driftserve.WithFrontOptions(driftfront.WithStabilizationDelay(ownershipSettleTime)))
	if err := p.Listen(ctx); err != nil {
		return nil, err
	}
	v = &vm{name: name, domain: domain, process: p}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = append(d.vms, v)
	return v, nil
}

// startVMs starts the initial VMs and waits until all are ready.
func (d *Demo) startVMs(ctx context.Context) error {
	for i := range vmCount {
		if _, err := d.addVM(ctx, d.size.Domains[i%len(d.size.Domains)]); err != nil {
			return err
		}
	}
	d.publishVMs()
	for _, v := range d.vms {
		if err := v.process.Start(ctx); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := v.waitReady(ctx); err != nil {
			return err
		}
	}
	d.platform.SetListLag(vmListLag)
	return nil
}

// publishVMs publishes the list of VMs that have not stopped, which readers
// see after vmListLag.
func (d *Demo) publishVMs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listed []driftplatform.ListedVM
	for _, v := range d.vms {
		if !v.stopped {
			listed = append(listed, v.listEntry())
		}
	}
	d.platform.SetVMs(listed...)
}

// updateVM applies a change to a VM and publishes the list of VMs.
func (d *Demo) updateVM(change func()) {
	d.mu.Lock()
	change()
	d.mu.Unlock()
	d.publishVMs()
}

// replaceVM starts a new VM under another name and stops the old one gracefully.
func (d *Demo) replaceVM(ctx context.Context, old *vm) error {
	fresh, err := d.addVM(ctx, old.domain)
	if err != nil {
		return err
	}
	if err := fresh.process.Start(ctx); err != nil {
		return err
	}
	d.updateVM(func() { old.leaving = true })
	if err := old.process.Stop(ctx); err != nil {
		return err
	}
	d.updateVM(func() { old.stopped = true })
	return fresh.waitReady(ctx)
}

// stopVMs stops all serving VMs concurrently.
func (d *Demo) stopVMs(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range d.servingVMs() {
		group.Go(func() error { return v.process.Stop(ctx) })
	}
	return group.Wait()
}

// servingVMs returns the VMs that are neither leaving nor stopped.
func (d *Demo) servingVMs() []*vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	var serving []*vm
	for _, v := range d.vms {
		if !v.stopped && !v.leaving {
			serving = append(serving, v)
		}
	}
	return serving
}

// allVMs returns all VMs, including those that have stopped.
func (d *Demo) allVMs() []*vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.vms)
}

// waitReady waits until the VM reports that it is ready.
func (v *vm) waitReady(ctx context.Context) error {
	for !isReady(ctx, v.process.Addresses().Ops) {
		if err := sleep(ctx, readyPollInterval); err != nil {
			return err
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
