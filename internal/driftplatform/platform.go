// Package driftplatform reads the configuration service and the list of live
// and leaving VMs from the platform. Both are read-only: no part of almonddrift
// writes shared state.
//
// Each interface returns a sealed set of results, so that a test environment
// or another platform needs only one new adapter file. HTTPPlatform implements
// the protocol of docs/PLATFORM.md.
//
// # Usage
//
//	switch r := config.Watch(ctx, "classes", held).(type) {
//	case driftplatform.Found:
//		apply(r.Value)
//	case driftplatform.Unchanged, driftplatform.Absent:
//	case driftplatform.Unavailable:
//		report(r.Err)
//	}
package driftplatform

import "context"

// Value is one value of the configuration service. Its revision increases with
// every change of the key.
type Value struct {
	Key      string
	Revision uint64
	Body     []byte
}

// Config reads the configuration service. Each call counts as one read, a
// waiting watch included.
type Config interface {
	// Read returns the value of a key.
	Read(ctx context.Context, key string) ConfigResult
	// Watch waits until the revision of the key is greater than after. It
	// returns Unchanged when the service ends the wait without a change.
	Watch(ctx context.Context, key string, after uint64) ConfigResult
}

// ConfigResult is Found, Unchanged, Absent or Unavailable.
type ConfigResult interface {
	configResult()
}

// Found holds a value. A stale service may return an old value.
type Found struct {
	Value Value
}

// Unchanged reports that a watch ended without a change.
type Unchanged struct{}

// Absent reports that the key has no value.
type Absent struct{}

// Unavailable reports that the service did not answer, or gave an invalid
// answer.
type Unavailable struct {
	Err error
}

func (Found) configResult()       {}
func (Unchanged) configResult()   {}
func (Absent) configResult()      {}
func (Unavailable) configResult() {}

// ListedVM is one entry of the published VM list.
type ListedVM struct {
	Name    string `json:"name" validate:"required,max=64"`
	Domain  string `json:"domain" validate:"required,max=64"`
	Callers string `json:"callers" validate:"required,ipport"`
	Peers   string `json:"peers" validate:"required,ipport"`
	Leaving bool   `json:"leaving"`
}

// Lister reads the list of live and leaving VMs, which lags behind the actual
// state.
type Lister interface {
	List(ctx context.Context) VMListResult
}

// VMListResult is VMList or VMListUnavailable.
type VMListResult interface {
	vmListResult()
}

// VMList holds the list.
type VMList struct {
	VMs []ListedVM
	// Refused says what is wrong with the entries that name no VM.
	Refused []error
}

// VMListUnavailable reports that the list could not be read.
type VMListUnavailable struct {
	Err error
}

func (VMList) vmListResult()            {}
func (VMListUnavailable) vmListResult() {}
