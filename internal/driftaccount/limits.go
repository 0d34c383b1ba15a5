package driftaccount

import (
	"cmp"
	"slices"
)

// Limits returns the accounts that have a limit, sorted by name.
func (d *Directory) Limits() (limited []Account) {
	if d == nil {
		return nil
	}
	for _, a := range d.accounts {
		if a.Limited() {
			limited = append(limited, a)
		}
	}
	slices.SortFunc(limited, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return limited
}
