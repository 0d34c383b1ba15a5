package driftaccount

import (
	"crypto/sha256"
	"strings"
)

// Key is the key of a request. It holds the hash of the key only. The zero value is
// that of a request without a key.
type Key struct {
	hash  [sha256.Size]byte
	given bool
}

// ParseKey returns the key in the values of a request's header, each of the form
// "SCHEME KEY" with the scheme in any case. A request with several values has no key:
// programs along its path may differ on which of them counts.
func ParseKey(values []string, scheme string) Key {
	if len(values) != 1 {
		return Key{}
	}
	given, text, _ := strings.Cut(strings.Trim(values[0], blanks), " ")
	if !strings.EqualFold(given, scheme) {
		return Key{}
	}
	return newKey(strings.Trim(text, blanks))
}

// blanks may surround a key.
const blanks = " \t"

// newKey returns the key with the given text, the zero value if there is none.
func newKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{hash: sha256.Sum256([]byte(text)), given: true}
}

// String implements fmt.Stringer. It says only whether there is a key.
func (k Key) String() string {
	if k.given {
		return "a key"
	}
	return "no key"
}

// GoString implements fmt.GoStringer like String.
func (k Key) GoString() string { return k.String() }
