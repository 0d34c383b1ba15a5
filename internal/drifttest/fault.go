package drifttest

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// MarkDomainOut marks a failure domain out.
func (f *Fleet) MarkDomainOut(domain string) {
	if slices.Contains(f.marks.Domains, domain) {
		return
	}
	f.marks.Domains = append(slices.Clone(f.marks.Domains), domain)
	f.publishMarks()
}

// ClearDomainMark removes the out mark of a failure domain.
func (f *Fleet) ClearDomainMark(domain string) {
	f.marks.Domains = without(f.marks.Domains, domain)
	f.publishMarks()
}

// MarkVMOut marks a VM out.
func (f *Fleet) MarkVMOut(vm string) {
	f.marks.VMs = append(without(f.marks.VMs, vm), vm)
	f.publishMarks()
}

// ClearVMMark removes the out mark of a VM.
func (f *Fleet) ClearVMMark(vm string) {
	f.marks.VMs = without(f.marks.VMs, vm)
	f.publishMarks()
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

func (f *Fleet) publishMarks() {
	f.Platform.Put(driftdocument.KeyMarks, f.marks)
	f.updateUpstreamMarks()
}

// updateUpstreamMarks sets the time since which each simulated upstream counts
// new requests as violations. While the platform is down or its configuration
// is stale, the VMs cannot know of a mark, so nothing is counted.
func (f *Fleet) updateUpstreamMarks() {
	now := time.Now()
	if f.platformDown || f.configStale {
		now = time.Time{}
	}
	for i := range f.Spec.Shards {
		for j := range f.Spec.Replicas {
			u := f.Upstreams[i*f.Spec.Replicas+j]
			out, left := time.Time{}, time.Time{}
			if slices.Contains(f.marks.Domains, f.Spec.Domain(i, j)) {
				out = now
			}
			if f.leavingUpstreams[u.Name] {
				left = now
			}
			u.SetMarkedOutSince(out)
			u.SetLeavingSince(left)
		}
	}
}

// DrainUpstream makes an upstream drain and publishes that it is leaving.
func (f *Fleet) DrainUpstream(name string) {
	f.Upstream(name).Leave()
	f.leavingUpstreams[name] = true
	f.publishUpstreams()
	f.updateUpstreamMarks()
}

// RestartUpstream restarts an upstream. It is cold afterwards and no longer
// leaving.
func (f *Fleet) RestartUpstream(name string) {
	f.Upstream(name).Restart()
	if f.leavingUpstreams[name] {
		delete(f.leavingUpstreams, name)
		f.publishUpstreams()
	}
	f.updateUpstreamMarks()
}

// RestartDomainUpstreams restarts every upstream of a failure domain, which
// makes them cold.
func (f *Fleet) RestartDomainUpstreams(domain string) {
	for i := range f.Spec.Shards {
		for j := range f.Spec.Replicas {
			if f.Spec.Domain(i, j) == domain {
				f.Upstreams[i*f.Spec.Replicas+j].Restart()
			}
		}
	}
}

// SetPlatformDown sets whether every call to the platform fails.
func (f *Fleet) SetPlatformDown(down bool) {
	f.Platform.SetDown(down)
	f.platformDown = down
	f.updateUpstreamMarks()
}

// SetConfigStale sets whether the configuration service keeps returning its
// current values although newer ones are published.
func (f *Fleet) SetConfigStale(stale bool) {
	f.Platform.SetStale(stale)
	f.configStale = stale
	f.updateUpstreamMarks()
}

// KillAndUnlist kills a VM and removes it from the VM list, which is published
// with the platform's delay.
func (f *Fleet) KillAndUnlist(vm string) {
	f.Kill(vm)
	f.unlistedVMs[vm] = true
	f.publishLiveVMs()
}

// StartAndList starts a VM that was killed and adds it to the VM list, which is
// published with the platform's delay.
func (f *Fleet) StartAndList(vm string) {
	if f.Alive(vm) {
		return
	}
	delete(f.unlistedVMs, vm)
	f.Start(vm)
	f.publishLiveVMs()
}

func (f *Fleet) publishLiveVMs() {
	var gone []string
	for _, vm := range VMNames() {
		if f.unlistedVMs[vm] {
			gone = append(gone, vm)
		}
	}
	f.PublishVMList(gone...)
}

// Leave shuts a VM down like SIGTERM: it announces its departure, serves its
// callers for as long as they may cache its address, and then stops.
func (f *Fleet) Leave(vm string) {
	node, vmCtx := f.Node(vm), f.vmContext(vm)
	go func() {
		_ = node.Leave(vmCtx)
		f.KillAndUnlist(vm)
	}()
}

// StopControlPlane stops the control plane of a VM. The VM still serves queries
// with its last view of the fleet, like a process that resumes after a pause.
func (f *Fleet) StopControlPlane(vm string) {
	f.mu.Lock()
	stop := f.cancelVM[vm]
	f.mu.Unlock()
	stop()
}

// Pause delays everything that a VM sends and receives until Resume, like a
// paused process.
func (f *Fleet) Pause(vm string) {
	f.Network.Gate(vm).Pause()
}

// Resume ends the pause of a VM.
func (f *Fleet) Resume(vm string) {
	f.Network.Gate(vm).Resume()
}

// shutdownTime is how long requests in flight at the end of a test may take.
const shutdownTime = 5 * time.Second

// shutDown stops all VMs and waits until no request is in flight.
func (f *Fleet) shutDown() {
	f.resumeAll()
	for _, vm := range VMNames() {
		f.Kill(vm)
	}
	time.Sleep(shutdownTime)
}

func (f *Fleet) resumeAll() {
	for _, vm := range VMNames() {
		f.Resume(vm)
	}
}

// SetPartitioned sets whether messages between two VMs are dropped, in both
// directions.
func (f *Fleet) SetPartitioned(a, b string, cut bool) {
	f.Network.SetPartitioned(a, b, cut)
	f.Network.SetPartitioned(b, a, cut)
}

// SetGroupsPartitioned sets whether messages between two groups of VMs are
// dropped.
func (f *Fleet) SetGroupsPartitioned(side, other []string, cut bool) {
	for _, a := range side {
		for _, b := range other {
			f.SetPartitioned(a, b, cut)
		}
	}
}

// SetDomainsPartitioned sets whether messages between the VMs of two failure
// domains are dropped.
func (f *Fleet) SetDomainsPartitioned(a, b string, cut bool) {
	f.SetGroupsPartitioned(f.vmsInDomain(a), f.vmsInDomain(b), cut)
}

func (f *Fleet) vmsInDomain(domain string) []string {
	return slices.DeleteFunc(VMNames(), func(vm string) bool { return f.vmDomains[vm] != domain })
}

// Heal ends every partition, silent link and pause of the VMs.
func (f *Fleet) Heal() {
	for _, a := range VMNames() {
		for _, b := range VMNames() {
			f.Network.SetPartitioned(a, b, false)
			f.Network.SetSilent(a, b, false)
		}
	}
	f.resumeAll()
}

// RollOut publishes index versions and makes the upstreams of the given
// replicas serve them. Other upstreams keep the versions that they serve.
func (f *Fleet) RollOut(replicas []int, numbers ...uint64) {
	for i := range f.Spec.Shards {
		for _, j := range replicas {
			f.Upstreams[i*f.Spec.Replicas+j].SetVersions(numbers...)
		}
	}
	f.Platform.Put(driftdocument.KeyVersionsPrefix+f.Spec.Service, f.Spec.VersionsDocument(numbers...))
}

// SetReplyFault sets the kind of fault in the replies of an upstream.
func (f *Fleet) SetReplyFault(name string, mode driftfake.ReplyMode) {
	f.Upstream(name).SetReplyMode(mode)
}
