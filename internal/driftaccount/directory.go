package driftaccount

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Published is an account with its keys, as an operator publishes it.
type Published struct {
	Account
	Keys []string
}

// Directory finds accounts by key and by name. A nil Directory has none.
type Directory struct {
	accounts []Account
	// byKey and byName hold indexes of accounts. Keys are held as hashes, and without
	// pointers, which would make each garbage collection visit them all.
	byKey  map[[sha256.Size]byte]uint32
	byName map[string]uint32
}

// NewDirectory returns a directory of the published accounts. The error satisfies
// errors.Is(err, errors.NotValid) and names no key: names and keys must be such that a
// header can carry them, and no two accounts may have the same name or key.
func NewDirectory(published []Published) (*Directory, error) {
	d := &Directory{
		accounts: make([]Account, 0, len(published)),
		byKey:    make(map[[sha256.Size]byte]uint32, len(published)),
		byName:   make(map[string]uint32, len(published)),
	}
	for i, p := range published {
		index := uint32(i)
		if !fitsHeader(p.Name) {
			return nil, errors.NotValidf("account %.40q: a name that a header cannot carry", p.Name)
		}
		if _, found := d.byName[p.Name]; found {
			return nil, errors.NotValidf("account %.40q given twice", p.Name)
		}
		d.byName[p.Name] = index
		d.accounts = append(d.accounts, p.Account)
		for n, text := range p.Keys {
			if !fitsHeader(text) {
				return nil, errors.NotValidf("account %.40q: key %d, which a header cannot carry", p.Name, n)
			}
			key := newKey(text)
			if other, found := d.byKey[key.hash]; found && other != index {
				return nil, errors.NotValidf("accounts %.40q and %.40q with the same key", d.accounts[other].Name, p.Name)
			}
			d.byKey[key.hash] = index
		}
	}
	return d, nil
}

// fitsHeader reports whether a header can carry the text unchanged.
func fitsHeader(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == '\x7f' }
	return text != "" && strings.Trim(text, blanks) == text && !strings.ContainsFunc(text, isControl)
}

// Find returns the account that holds the key. Keys are compared by their hashes,
// so that the time that it takes tells nothing of them.
func (d *Directory) Find(key Key) (Account, bool) {
	if d == nil || !key.given {
		return Account{}, false
	}
	index, ok := d.byKey[key.hash]
	if !ok {
		return Account{}, false
	}
	return d.accounts[index], true
}

// Named returns the account with the name.
func (d *Directory) Named(name string) (Account, bool) {
	if d == nil {
		return Account{}, false
	}
	index, ok := d.byName[name]
	if !ok {
		return Account{}, false
	}
	return d.accounts[index], true
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.accounts)
}

// Keys returns the number of keys.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return len(d.byKey)
}

// Equal reports whether both directories hold the same accounts with the same keys,
// in the same order.
func (d *Directory) Equal(other *Directory) bool {
	if d == nil || other == nil {
		return d == other
	}
	return slices.Equal(d.accounts, other.accounts) && maps.Equal(d.byKey, other.byKey)
}
