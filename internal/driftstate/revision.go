package driftstate

import (
	"cmp"
	"fmt"
)

// Revision is a revision of the published state. The zero value comes before
// all others.
type Revision struct {
	// Era grows each time the platform was restored from an older copy of itself.
	// It is 0 on platforms that do not name it.
	Era int64
	// Number grows with each change of an era. Another era may give the same
	// numbers to other changes.
	Number int64
}

// Compare returns -1, 0 or +1 as the revision is older than, the same as or newer
// than another.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether the revision is newer than another.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether the revision is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String implements fmt.Stringer.
func (r Revision) String() string { return fmt.Sprintf("%d of era %d", r.Number, r.Era) }

// newest returns the newer of two revisions.
func newest(a, b Revision) Revision {
	if a.After(b) {
		return a
	}
	return b
}
