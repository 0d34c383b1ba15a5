// Package driftroom divides the slots of a service that is short of them, between
// the classes, the client accounts and the failure domains that compete for them,
// over all VMs.
//
// Divide is the rule. A Board holds what one VM knows of the demand of all VMs, and
// returns the part of the slots that this VM may use. Both are without input and
// output, and a Board is not safe for concurrent use.
//
// # Usage
//
//	board := driftroom.NewBoard()
//	board.Announce(own, now)
//	board.Hear("vm-2", claims, now)
//	parts := board.Parts(slots, fleet, now)
package driftroom

import (
	"cmp"
	"slices"
	"time"
)

// Claimant is who competes for slots: the requests of one class, client account and
// failure domain. It is comparable.
type Claimant struct {
	// Class is the name of a route.
	Class string
	// Account is the name of a client account, empty if there is none.
	Account string
	// Domain is the failure domain of the VMs that the requests have reached.
	Domain string
}

// Rank orders claimants; the most urgent is the least.
type Rank struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// Objective is the latency objective, and Timeout how long a caller waits.
	Objective, Timeout time.Duration
}

// Compare returns a negative number if the rank is more urgent than the other one, 0 if
// they are alike, and else a positive number.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, other.Priority),
		cmp.Compare(r.Objective, other.Objective), cmp.Compare(r.Timeout, other.Timeout))
}

// Claim is the demand of one claimant for slots of a service.
type Claim struct {
	Claimant
	Rank Rank
	// Demand is how many requests are in flight or wait, on average, and Running how many
	// of them are in flight.
	Demand, Running float64
	// Floor is the share of the slots that the claimant gets before any other gets more
	// than its floor. It follows from the configuration and not from demands, and the
	// floors of all claimants add up to 1 at most.
	Floor float64
}

// FloorShare is the share of the slots of a service that is divided into floors.
const FloorShare = 0.2

// Divide returns how many of the slots each claim gets. No claim gets more than it
// demands, and slots are left only if all demands are met. It handles a crowd of one
// class, account or failure domain that would take the slots that others need:
//
//   - every claim gets its floor first, so that none starves;
//   - the rest goes to the most urgent rank;
//   - claims of the same rank share evenly by account, then by class, then by domain, and
//     what one of them leaves goes to the others.
//
// The slots of one claim never grow with the demand of another, and per unit of its own
// demand they never grow with that. Board relies on both.
func Divide(slots float64, claims []Claim) (given []float64) {
	given = make([]float64, len(claims))
	left := slots
	for i, c := range claims {
		given[i] = min(c.Demand, c.Floor*slots)
		left -= given[i]
	}
	order := make([]int, len(claims))
	for i := range order {
		order[i] = i
	}
	byRank := func(a, b int) int { return claims[a].Rank.Compare(claims[b].Rank) }
	slices.SortStableFunc(order, byRank)
	for len(order) > 0 {
		n := 1
		for n < len(order) && byRank(order[0], order[n]) == 0 {
			n++
		}
		left -= share(left, order[:n], claims, given, shareLevels[:])
		order = order[n:]
	}
	return given
}

// shareLevels are the keys by which claims of the same rank share evenly.
var shareLevels = [...]func(Claimant) string{
	func(c Claimant) string { return c.Account },
	func(c Claimant) string { return c.Class },
	func(c Claimant) string { return c.Domain },
}

// share adds up to the given number of slots to the members, evenly by the first of the
// levels and within each by the others. It returns how many slots it has added.
func share(slots float64, members []int, claims []Claim, given []float64, levels []func(Claimant) string) (added float64) {
	unmet := func(members []int) (sum float64) {
		for _, i := range members {
			sum += claims[i].Demand - given[i]
		}
		return sum
	}
	slots = max(0, min(slots, unmet(members)))
	if len(levels) == 0 {
		for _, i := range members {
			part := min(slots-added, claims[i].Demand-given[i])
			given[i] += part
			added += part
		}
		return added
	}
	groups := make(map[string][]int)
	for _, i := range members {
		key := levels[0](claims[i].Claimant)
		groups[key] = append(groups[key], i)
	}
	type group struct {
		key   string
		unmet float64
	}
	order := make([]group, 0, len(groups))
	for key, list := range groups {
		order = append(order, group{key: key, unmet: unmet(list)})
	}
	slices.SortFunc(order, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.unmet, b.unmet), cmp.Compare(a.key, b.key))
	})
	for i, g := range order {
		even := (slots - added) / float64(len(order)-i)
		added += share(even, groups[g.key], claims, given, levels[1:])
	}
	return added
}
