package driftquota

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of a Limiter. A nil Metrics counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	wait     prometheus.Histogram
}

// waitBuckets are the bounds of the histogram of waiting times, in seconds.
var waitBuckets = []float64{.0005, .001, .002, .003, .005, .01, .02, .04, .08}

// NewMetrics returns metrics that are registered with the registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_quota_requests_total", Help: "Requests of limited accounts: asked of granters, granted, refused, and passed by the VM's own allowance.",
		}, []string{"kind"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "drift_quota_wait_seconds", Help: "Time that requests waited for the limit of their account.", Buckets: waitBuckets,
		}),
	}
	registerer.MustRegister(m.requests, m.wait)
	return m
}

func (m *Metrics) count(before, now Counts) {
	if m == nil || before == now {
		return
	}
	m.requests.WithLabelValues("asked").Add(float64(now.Asked - before.Asked))
	m.requests.WithLabelValues("granted").Add(float64(now.Granted - before.Granted))
	m.requests.WithLabelValues("refused").Add(float64(now.Refused - before.Refused))
	m.requests.WithLabelValues("own").Add(float64(now.Own - before.Own))
}

func (m *Metrics) observeWait(wait time.Duration) {
	if m != nil {
		m.wait.Observe(wait.Seconds())
	}
}
