// Package driftaccount holds the client accounts that operators publish and
// finds the account of a client's key.
//
// A Directory belongs to one version of the configuration and is immutable. It and
// Key hold hashes of keys only, so that no log line, event or error can show a key.
//
// # Usage
//
//	directory, err := driftaccount.NewDirectory(published)
//	account, ok := directory.Find(driftaccount.ParseKey(header.Values("Authorization"), scheme))
package driftaccount

import (
	"context"
	"time"
)

// Account is a client account. It is comparable.
type Account struct {
	// Name identifies the account. Upstreams are told it.
	Name string
	// Ranked is set if the account has a priority of its own, which goes before
	// that of the route.
	Ranked bool
	// Priority ranks the account's requests; 0 is the most urgent.
	Priority int
	// Rate is how many requests a second the account may make at all VMs together,
	// 0 if there is no limit. Burst is how many more it may make at once.
	Rate  float64
	Burst float64
}

// Limited reports whether the account has a limit.
func (a Account) Limited() bool { return a.Rate > 0 }

// Limiter keeps the requests of accounts within their limits, over all VMs.
type Limiter interface {
	// Take takes one request of a limited account, and waits until the given time at
	// most. If the limit is reached, it returns false and how long it takes until one
	// more request is within it, at a guess.
	Take(ctx context.Context, account Account, until time.Time) (retryAfter time.Duration, ok bool)
}

// Unlimited is a Limiter that lets all requests pass.
type Unlimited struct{}

// Take implements Limiter.
func (Unlimited) Take(context.Context, Account, time.Time) (time.Duration, bool) { return 0, true }
