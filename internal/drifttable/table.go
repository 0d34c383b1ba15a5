package drifttable

import (
	"iter"
	"maps"
	"slices"
)

// Row is implemented by every entity that a Table holds. Key returns the
// name that is unique within the table.
type Row interface {
	Key() string
}

// Table holds entities of one kind, visited in the order of their keys so
// that every VM that holds the same rows computes the same results. A Table
// that has been published in a View must not be changed.
//
//	vms := drifttable.NewTable(VM{Name: "vm-1", Domain: "Recife"})
//	vm, found := vms.Get("vm-1")
type Table[R Row] struct {
	rows map[string]R
	keys []string
}

// NewTable returns a table that holds the given rows. When two rows share a
// key, the later one replaces the earlier one.
func NewTable[R Row](rows ...R) Table[R] {
	t := Table[R]{rows: make(map[string]R, len(rows))}
	for _, r := range rows {
		t.rows[r.Key()] = r
	}
	t.keys = slices.Sorted(maps.Keys(t.rows))
	return t
}

// Get returns the row with the given key, and whether there is one.
func (t Table[R]) Get(key string) (row R, found bool) {
	row, found = t.rows[key]
	return row, found
}

// Has reports whether the table holds a row with the given key.
func (t Table[R]) Has(key string) bool {
	_, found := t.rows[key]
	return found
}

// Len returns the number of rows.
func (t Table[R]) Len() int {
	return len(t.keys)
}

// Keys returns the keys in order. The caller must not change the slice.
func (t Table[R]) Keys() []string {
	return t.keys
}

// All iterates over the rows in the order of their keys.
func (t Table[R]) All() iter.Seq[R] {
	return func(yield func(R) bool) {
		for _, k := range t.keys {
			if !yield(t.rows[k]) {
				return
			}
		}
	}
}
