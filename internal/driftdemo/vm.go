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

// Times of the fleet in a demo, shorter than those of a real one.
const (
	// entryLife is how long callers may keep the list of entry VMs.
	entryLife = time.Second
	// listLag is how late the platform shows changes of the VM list.
	listLag = 500 * time.Millisecond
	// settleTime is how long VMs may disagree on where a request runs that is
	// not idempotent, and the longest deadline of one in the demo.
	settleTime = driftcheck.OutGrace + onceDeadline
	// readyPoll is the time between two looks at a VM's readiness.
	readyPoll = 10 * time.Millisecond
)

// vm is an entry VM of the demo.
type vm struct {
	name    string
	domain  string
	process *driftserve.Process
	leaving bool
	gone    bool
}

// listed returns what the platform publishes of the VM.
func (v *vm) listed() driftplatform.ListedVM {
	a := v.process.Addresses()
	return driftplatform.ListedVM{
		Name: v.name, Domain: v.domain, Callers: a.Callers, Peers: a.Peers, Leaving: v.leaving,
	}
}

// addVM opens the listeners of one more VM. It is started later.
func (d *Demo) addVM(ctx context.Context, domain string) (v *vm, err error) {
	name := fmt.Sprintf("vm-%d", len(d.vms)+1)
	p := driftserve.New(driftsettings.Settings{
		Name: name, Domain: domain, Callers: anyPort, Peers: anyPort, Ops: anyPort,
		Platform: d.published.address, Life: driftdocument.Duration(entryLife),
	}, driftserve.WithLogger(d.logger), driftserve.WithFront(driftfront.WithStabilizationDelay(settleTime)))
	if err := p.Listen(ctx); err != nil {
		return nil, err
	}
	v = &vm{name: name, domain: domain, process: p}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = append(d.vms, v)
	return v, nil
}

// startVMs starts the first VMs and waits until all are ready.
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
	d.platform.SetListLag(listLag)
	return nil
}

// publishVMs publishes the list of live and leaving VMs, after the lag.
func (d *Demo) publishVMs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listed []driftplatform.ListedVM
	for _, v := range d.vms {
		if !v.gone {
			listed = append(listed, v.listed())
		}
	}
	d.platform.SetVMs(listed...)
}

// change changes a VM and publishes the list.
func (d *Demo) change(change func()) {
	d.mu.Lock()
	change()
	d.mu.Unlock()
	d.publishVMs()
}

// replace stops a VM gracefully while a new one starts under another name.
func (d *Demo) replace(ctx context.Context, old *vm) error {
	fresh, err := d.addVM(ctx, old.domain)
	if err != nil {
		return err
	}
	if err := fresh.process.Start(ctx); err != nil {
		return err
	}
	d.change(func() { old.leaving = true })
	if err := old.process.Stop(ctx); err != nil {
		return err
	}
	d.change(func() { old.gone = true })
	return fresh.waitReady(ctx)
}

// stopVMs stops all VMs that still run, side by side.
func (d *Demo) stopVMs(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range d.serving() {
		group.Go(func() error { return v.process.Stop(ctx) })
	}
	return group.Wait()
}

// serving returns the VMs that have not been stopped.
func (d *Demo) serving() []*vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	var serving []*vm
	for _, v := range d.vms {
		if !v.gone && !v.leaving {
			serving = append(serving, v)
		}
	}
	return serving
}

// all returns all VMs that ever ran.
func (d *Demo) all() []*vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.vms)
}

// waitReady waits until the VM says that it is ready.
func (v *vm) waitReady(ctx context.Context) error {
	for !ready(ctx, v.process.Addresses().Ops) {
		if err := pause(ctx, readyPoll); err != nil {
			return err
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
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
