package driftquota

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// View is what a VM knows of the fleet.
type View struct {
	// Granters are the other VMs that are alive and not leaving.
	Granters []string
	// Left are those that are alive and have announced that they leave. They grant
	// nothing any more, so that what follows one needs no caution.
	Left []string
	// Leaving is set while this VM leaves.
	Leaving bool
	// Alive is how many VMs are in touch with this one, itself included, and Known
	// how many were within the last hour on either side of a partition.
	Alive int
	Known int
	// Self and Others divide the allowances: the VMs known within the hour, by name
	// and capacity. Callers are sent to the VMs of the largest capacity.
	Self   driftshare.Owner
	Others []driftshare.Owner
}

func (v View) equal(o View) bool {
	return v.Leaving == o.Leaving && v.Alive == o.Alive && v.Known == o.Known && v.Self == o.Self &&
		slices.Equal(v.Granters, o.Granters) && slices.Equal(v.Left, o.Left) && slices.Equal(v.Others, o.Others)
}

// side returns which part of an account's rate the VMs of this side of a partition
// may grant. A side that has more than half of the VMs gets half of the part of
// those that it lacks, since VMs are lost for good more often than a fleet is parted,
// and all others half of their own part: the parts of disjoint sides add up to one
// at most.
func side(alive, known int) float64 {
	part := min(1, float64(alive)/float64(max(1, known)))
	if 2*alive > known {
		return (1 + part) / 2
	}
	return part / 2
}

// rank returns the rank of a VM for an account, by the hashes of both.
func rank(account, vm uint64) uint64 {
	h := account ^ vm*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }

// ranking chooses granters among VMs. It is the same at all VMs with the same view.
type ranking struct {
	self  uint64
	name  string
	vms   map[string]uint64
	grant bool
}

// granter returns the VM that grants an account, empty if there is none.
func (r *ranking) granter(account uint64) (name string) {
	highest := uint64(0)
	if r.grant {
		name, highest = r.name, rank(account, r.self)
	}
	for vm, h := range r.vms {
		if score := rank(account, h); name == "" || score > highest {
			name, highest = vm, score
		}
	}
	return name
}

// next returns the VM that grants an account if this one does not.
func (r *ranking) next(account uint64) (name string) {
	without := ranking{vms: r.vms}
	return without.granter(account)
}

// update takes over the VMs of a view, and returns those that are no longer among
// them and those that are new.
func (r *ranking) update(v View) (removed, added map[string]uint64) {
	removed, added = make(map[string]uint64), make(map[string]uint64)
	vms := make(map[string]uint64, len(v.Granters))
	for _, name := range v.Granters {
		h, known := r.vms[name]
		if !known {
			h = hash(name)
			added[name] = h
		}
		vms[name] = h
	}
	for name, h := range r.vms {
		if _, ok := vms[name]; !ok {
			removed[name] = h
		}
	}
	if r.grant == v.Leaving {
		if v.Leaving {
			removed[r.name] = r.self
		} else {
			added[r.name] = r.self
		}
	}
	r.vms, r.grant = vms, !v.Leaving
	return removed, added
}
