package driftmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// The outcomes of a query.
const (
	outcomeComplete = "complete"
	outcomePartial  = "partial"
	outcomeRefused  = "refused"
)

// QueryMetrics measures callers' queries by class and outcome.
type QueryMetrics struct {
	durations *prometheus.HistogramVec
	refusals  *prometheus.CounterVec
}

// NewQueryMetrics returns QueryMetrics that are registered with registry.
func NewQueryMetrics(registry prometheus.Registerer) *QueryMetrics {
	q := &QueryMetrics{
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "query_seconds", Help: "Duration of a query at this VM.",
			Buckets: []float64{
				0.002, 0.004, 0.006, 0.01, 0.015, 0.02, 0.03, 0.04, 0.06, 0.07, 0.1, 0.2, 0.5, 1, 2, 5, 10,
			},
		}, []string{"class", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refusals_total", Help: "Refused queries, by reason and by whether they ran.",
		}, []string{"reason", "ran"}),
	}
	registry.MustRegister(q.durations, q.refusals)
	return q
}

// RecordAnswer records an answer to a query of a published class.
func (q *QueryMetrics) RecordAnswer(class string, complete bool, took time.Duration) {
	outcome := outcomePartial
	if complete {
		outcome = outcomeComplete
	}
	q.durations.WithLabelValues(class, outcome).Observe(took.Seconds())
}

// RecordRefusal records a refusal. The class must be empty when it is not
// published, so that callers cannot add label values.
func (q *QueryMetrics) RecordRefusal(class, reason, ran string, took time.Duration) {
	q.durations.WithLabelValues(class, outcomeRefused).Observe(took.Seconds())
	q.refusals.WithLabelValues(reason, ran).Inc()
}
