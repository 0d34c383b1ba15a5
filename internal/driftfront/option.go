package driftfront

import "time"

// Defaults of the options.
const (
	defaultFresh      = time.Second
	defaultHedgeShare = 0.05
	defaultRetryShare = 0.1
	defaultSettle     = 13 * time.Second
	defaultQueries    = 4096
	defaultBytes      = 64 << 20
)

// settings are what the options change.
type settings struct {
	fresh      time.Duration
	hedging    bool
	hedgeShare float64
	retryShare float64
	choice     Choice
	settle     time.Duration
	queries    int
	bytes      int64
	admission  bool
	seed       uint64
}

func defaultSettings() settings {
	return settings{
		fresh: defaultFresh, hedging: true, hedgeShare: defaultHedgeShare,
		retryShare: defaultRetryShare, choice: TwoChoices{}, settle: defaultSettle,
		queries: defaultQueries, bytes: defaultBytes, admission: true,
	}
}

// Option changes a Front that New makes.
type Option func(*settings)

// WithFresh sets the age above which a view is too old to act on.
func WithFresh(age time.Duration) Option {
	return func(s *settings) { s.fresh = age }
}

// WithHedging turns the attempts beside one that is late on or off.
func WithHedging(on bool) Option {
	return func(s *settings) { s.hedging = on }
}

// WithHedgeShare sets the number of hedges allowed as a share of the first
// attempts.
func WithHedgeShare(share float64) Option {
	return func(s *settings) { s.hedgeShare = share }
}

// WithRetryShare sets the number of retries that may load an upstream as a
// share of the first attempts.
func WithRetryShare(share float64) Option {
	return func(s *settings) { s.retryShare = share }
}

// WithChoice sets how a replica is chosen.
func WithChoice(c Choice) Option {
	return func(s *settings) { s.choice = c }
}

// WithStabilizationDelay sets how long a change of a service's layout or of the marks
// must have been seen before requests that are not idempotent follow it. It
// must exceed the time in which configuration reaches every VM plus
// MaxOnceDeadline.
func WithStabilizationDelay(d time.Duration) Option {
	return func(s *settings) { s.settle = d }
}

// WithQueries sets how many queries may be in flight at a time.
func WithQueries(number int) Option {
	return func(s *settings) { s.queries = number }
}

// WithBytes sets how many bytes the queries in flight may hold.
func WithBytes(number int64) Option {
	return func(s *settings) { s.bytes = number }
}

// WithAdmission turns the adaptive limits of the classes on or off. The
// limits of WithQueries and WithBytes always apply.
func WithAdmission(on bool) Option {
	return func(s *settings) { s.admission = on }
}

// WithSeed makes the random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}
