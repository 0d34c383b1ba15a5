package driftrelay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of a relay.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	sends    *prometheus.CounterVec
	limited  *prometheus.CounterVec
	limits   prometheus.Gauge
	leaving  prometheus.Gauge
	closed   prometheus.Gauge
	turned   *prometheus.CounterVec
	accounts prometheus.Gauge
	denied   *prometheus.CounterVec
	asked    *prometheus.CounterVec
	crossed  *prometheus.CounterVec
	deferred *prometheus.CounterVec
	roomMetrics
}

// latencyBuckets are the bounds of the latency histogram, in seconds.
var latencyBuckets = []float64{.005, .01, .02, .035, .05, .075, .1, .15, .25, .4, .6, 1, 2, 4}

// NewMetrics returns metrics that are registered with the registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_requests_total", Help: "Requests by route and cause of the answer.",
		}, []string{"route", "cause"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "drift_latency_seconds", Help: "Time to the answer by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_sends_total", Help: "Sends by service: first, extra, and extra ones that the budget denied.",
		}, []string{"service", "kind"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_limited_sends_total", Help: "Sends to upstreams that name a rate limit.",
		}, []string{"service", "kind"}),
		limits: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "drift_rate_limits", Help: "Upstreams that name a rate limit to this VM.",
		}),
		leaving: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "drift_leaving_upstreams", Help: "Upstreams that this VM knows to be leaving.",
		}),
		closed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "drift_closed_upstreams", Help: "Upstreams that want no requests of this VM for some time.",
		}),
		turned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_turned_away_total", Help: "Attempts that an upstream turned away for a time that it named.",
		}, []string{"service"}),
		accounts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "drift_accounts", Help: "Client accounts of the version in force.",
		}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_account_refusals_total", Help: "Requests refused by their account, by cause: no valid key, a stale view, a name that this VM does not know, or the account's limit.",
		}, []string{"cause"}),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_speed_probes_total", Help: "Health requests that asked an upstream how long work takes there.",
		}, []string{"service"}),
		crossed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_crossings_total", Help: "Choices of an upstream in another failure domain while there was one in the own.",
		}, []string{"domain", "cause"}),
		deferred: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_deferred_parts_total", Help: "Parts of answers that were not asked for at first, as they come late and the answer may lack them, and those asked for later: deferred and asked.",
		}, []string{"route", "kind"}),
	}
	m.roomMetrics = newRoomMetrics(registerer)
	registerer.MustRegister(m.requests, m.latency, m.sends, m.limited, m.limits, m.leaving, m.closed, m.turned, m.accounts, m.denied, m.asked, m.crossed, m.deferred)
	return m
}

// Values of the label kind of drift_sends_total.
const (
	sendFirst  = "first"
	sendExtra  = "extra"
	sendDenied = "denied"
)

// Values of the label kind of drift_deferred_parts_total.
const (
	partDeferred = "deferred"
	partAsked    = "asked"
)

func (m *Metrics) countSend(service, kind string) {
	if m != nil {
		m.sends.WithLabelValues(service, kind).Inc()
	}
}

func (m *Metrics) countLimited(service, kind string) {
	if m != nil {
		m.limited.WithLabelValues(service, kind).Inc()
	}
}

func (m *Metrics) setRateLimits(upstreams int) {
	if m != nil {
		m.limits.Set(float64(upstreams))
	}
}

func (m *Metrics) setLeaving(upstreams int) {
	if m != nil {
		m.leaving.Set(float64(upstreams))
	}
}

func (m *Metrics) setClosed(upstreams int) {
	if m != nil {
		m.closed.Set(float64(upstreams))
	}
}

func (m *Metrics) countTurnedAway(service string) {
	if m != nil {
		m.turned.WithLabelValues(service).Inc()
	}
}

func (m *Metrics) setAccounts(accounts int) {
	if m != nil {
		m.accounts.Set(float64(accounts))
	}
}

func (m *Metrics) countAccountRefusal(cause Cause) {
	if m != nil {
		m.denied.WithLabelValues(string(cause)).Inc()
	}
}

func (m *Metrics) countSpeedProbe(service string) {
	if m != nil {
		m.asked.WithLabelValues(service).Inc()
	}
}

// countCrossing counts the choice of an upstream, if it is in another domain.
func (m *Metrics) countCrossing(o option, own, cause string) {
	if m != nil && o.upstream.Domain != own {
		m.crossed.WithLabelValues(o.upstream.Domain, cause).Inc()
	}
}

func (m *Metrics) countDeferred(route, kind string, parts int) {
	if m != nil && parts > 0 {
		m.deferred.WithLabelValues(route, kind).Add(float64(parts))
	}
}

func (m *Metrics) observeAnswer(route string, cause Cause, took time.Duration) {
	if m != nil {
		m.requests.WithLabelValues(route, string(cause)).Inc()
		m.latency.WithLabelValues(route).Observe(took.Seconds())
	}
}
