package driftrelay

import "time"

// Bounds are the limits of a site on how long this VM may go by an earlier view. A
// value of 0 is that of the published sites, which longer ones equal too.
type Bounds struct {
	// Drain is how long an upstream serves after it has announced that it leaves or
	// was removed from the list.
	Drain time.Duration
	// Evacuate is how long requests may still reach a failure domain that is out of
	// service.
	Evacuate time.Duration
	// Config is how long after its publication a configuration has to be in force.
	Config time.Duration
}

// publishedBounds are those of the published sites.
var publishedBounds = Bounds{Drain: 3 * time.Second, Evacuate: 5 * time.Second, Config: 3 * time.Second}

// graces are the times after which an upstream gets no more requests, and from which
// a view is stale.
type graces struct {
	leaving, removed, outOfService time.Duration
	// stale is the age of the view from which a missing route may already be
	// published.
	stale time.Duration
}

// publishedGraces are those for publishedBounds. Entries that expired because the
// platform was unavailable are back within 2 s.
var publishedGraces = graces{
	leaving: 1500 * time.Millisecond, removed: 2300 * time.Millisecond, outOfService: 1500 * time.Millisecond,
	stale: 2900 * time.Millisecond,
}

// graces returns the times that fit the bounds. It handles a site whose upstreams end
// sooner than those of the published ones: each time is the same share of its bound,
// and never longer.
func (b Bounds) graces() graces {
	return graces{
		leaving:      scaled(publishedGraces.leaving, b.Drain, publishedBounds.Drain),
		removed:      scaled(publishedGraces.removed, b.Drain, publishedBounds.Drain),
		outOfService: scaled(publishedGraces.outOfService, b.Evacuate, publishedBounds.Evacuate),
		stale:        scaled(publishedGraces.stale, b.Config, publishedBounds.Config),
	}
}

// scaled returns a time that fits a published bound, shortened for a shorter one.
func scaled(published, bound, publishedBound time.Duration) time.Duration {
	if bound <= 0 || bound >= publishedBound {
		return published
	}
	return time.Duration(float64(published) * bound.Seconds() / publishedBound.Seconds())
}

// SetBounds sets the bounds of the site.
func (r *Relay) SetBounds(b Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graces = b.graces()
}

// SetBudget replaces the rule that bounds extra attempts. Its window stays as it was, since
// attempts and loans are counted over it.
func (r *Relay) SetBudget(rule BudgetRule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rule.Window = r.rule.Window
	r.rule = rule
}

// staleAfter returns the age of the view from which a missing route may already be
// published.
func (r *Relay) staleAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.graces.stale
}
