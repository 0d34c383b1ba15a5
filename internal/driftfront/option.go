package driftfront

import "time"

// Defaults of the options.
const (
	defaultMaxViewAge         = time.Second
	defaultHedgeRatio         = 0.05
	defaultRetryRatio         = 0.1
	defaultStabilizationDelay = 13 * time.Second
	defaultMaxQueries         = 4096
	defaultMaxBytes           = 64 << 20
)

// settings holds the values that the options set.
type settings struct {
	maxViewAge         time.Duration
	hedging            bool
	hedgeRatio         float64
	retryRatio         float64
	balancing          Balancing
	stabilizationDelay time.Duration
	maxQueries         int
	maxBytes           int64
	adaptiveLimits     bool
	seed               uint64
}

func defaultSettings() settings {
	return settings{
		maxViewAge: defaultMaxViewAge, hedging: true, hedgeRatio: defaultHedgeRatio,
		retryRatio: defaultRetryRatio, balancing: TwoChoices{}, stabilizationDelay: defaultStabilizationDelay,
		maxQueries: defaultMaxQueries, maxBytes: defaultMaxBytes, adaptiveLimits: true,
	}
}

// Option configures a Front.
type Option func(*settings)

// WithMaxViewAge sets the age above which a view is too old to act on.
func WithMaxViewAge(age time.Duration) Option {
	return func(s *settings) { s.maxViewAge = age }
}

// WithHedging turns hedging on or off. A hedge is a second attempt beside a
// slow one.
func WithHedging(on bool) Option {
	return func(s *settings) { s.hedging = on }
}

// WithHedgeRatio sets the number of hedges allowed for each first attempt.
func WithHedgeRatio(share float64) Option {
	return func(s *settings) { s.hedgeRatio = share }
}

// WithRetryRatio sets the number of retries allowed for each first attempt. It
// limits only the retries that may add load to an upstream.
func WithRetryRatio(share float64) Option {
	return func(s *settings) { s.retryRatio = share }
}

// WithBalancing sets how a replica is chosen.
func WithBalancing(c Balancing) Option {
	return func(s *settings) { s.balancing = c }
}

// WithStabilizationDelay sets how long a change of a service's layout or of
// the marks must have been visible before requests that are not idempotent
// follow it. It must exceed the time in which configuration reaches every VM
// plus MaxNonIdempotentDeadline.
func WithStabilizationDelay(d time.Duration) Option {
	return func(s *settings) { s.stabilizationDelay = d }
}

// WithMaxQueries sets how many queries may be in flight at a time.
func WithMaxQueries(number int) Option {
	return func(s *settings) { s.maxQueries = number }
}

// WithMaxBytes sets how many bytes the queries in flight may hold.
func WithMaxBytes(number int64) Option {
	return func(s *settings) { s.maxBytes = number }
}

// WithAdaptiveLimits turns the adaptive concurrency limits of the classes on
// or off. The limits of WithMaxQueries and WithMaxBytes always apply.
func WithAdaptiveLimits(on bool) Option {
	return func(s *settings) { s.adaptiveLimits = on }
}

// WithSeed makes the random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}
