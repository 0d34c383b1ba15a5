// Package driftmetric exports the state of a VM as Prometheus metrics.
// Collector reads the VM's status and event counts when it is scraped, so that
// they cost nothing while requests are served. QueryMetrics records the outcome of each
// caller's query. docs/ops/status.md lists the metrics.
//
// # Usage
//
//	registry.MustRegister(driftmetric.NewCollector(node.Status, events))
//	queries := driftmetric.NewQueryMetrics(registry)
//	queries.RecordAnswer("fire", true, 12*time.Millisecond)
package driftmetric

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftstatus"
)

// namespace is the prefix of every metric name.
const namespace = "almonddrift"

// EventCounter counts how often each event code was recorded. driftevent.Log
// implements it.
type EventCounter interface {
	Count(code driftevent.Code) uint64
}

// Collector collects the metrics of one VM. It implements
// prometheus.Collector.
type Collector struct {
	status func() driftstatus.Report
	events EventCounter
}

// NewCollector returns a Collector that reads status and event counts.
func NewCollector(status func() driftstatus.Report, events EventCounter) *Collector {
	return &Collector{status: status, events: events}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	descEvents     = newDesc("events_total", "Events recorded.", "code", "name")
	descAttempts   = newDesc("attempts_total", "Attempts started by the front, hedges included.")
	descHedges     = newDesc("hedges_total", "Attempts started in parallel to a slow one.")
	descViolations = newDesc("violations_total", "Invariant violations found.", "promise")
	descViewAge    = newDesc("view_age_seconds", "Age of the view in use.")
	descViewNumber = newDesc("view_number", "Number of views published.")
	descConfigAge  = newDesc("config_age_seconds", "Time since the configuration service last answered; negative when unknown.")
	descFenced     = newDesc("fenced", "1 while the VM is fenced and may not act as an owner.")
	descServing    = newDesc("serving", "1 while the VM is neither out, leaving nor fenced.")
	descRevision   = newDesc("config_revision", "Revision in force.", "key")
	descVMs        = newDesc("vms", "VMs by their health as seen by this VM.", "health")
	descLimit      = newDesc("upstream_limit", "Concurrency limit of an owned upstream.", "upstream")
	descInFlight   = newDesc("upstream_flight", "Requests in flight at an owned upstream.", "upstream")
	descQueued     = newDesc("upstream_queue", "Requests queued for an owned upstream.", "upstream")
	descConns      = newDesc("upstream_connections", "Open connections to an owned upstream.", "upstream")
	descCold       = newDesc("upstream_cold", "1 while an owned upstream warms up.", "upstream")
)

// Describe implements prometheus.Collector.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descEvents, descAttempts, descHedges, descViolations, descViewAge, descViewNumber,
		descConfigAge, descFenced, descServing, descRevision, descVMs, descLimit, descInFlight,
		descQueued, descConns, descCold,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	r := c.status()
	c.collectEvents(out)
	collectView(out, r)
	for _, u := range r.Upstreams {
		collectUpstream(out, u)
	}
}

func (c *Collector) collectEvents(out chan<- prometheus.Metric) {
	for _, code := range driftevent.Codes() {
		out <- counter(descEvents, c.events.Count(code), strconv.Itoa(int(code)), code.Name())
	}
	hedges := c.events.Count(driftevent.AttemptHedged)
	out <- counter(descAttempts, c.events.Count(driftevent.AttemptStarted)+hedges)
	out <- counter(descHedges, hedges)
}

func collectView(out chan<- prometheus.Metric, r driftstatus.Report) {
	const millisPerSecond = 1000
	out <- gauge(descViewAge, r.View.Age/millisPerSecond)
	out <- gauge(descViewNumber, float64(r.View.Number))
	out <- gauge(descConfigAge, r.View.ConfigAge/millisPerSecond)
	out <- gauge(descFenced, boolValue(r.Fenced))
	out <- gauge(descServing, boolValue(!r.Fenced && !r.Out && !r.Leaving))
	for _, v := range r.Violations {
		out <- counter(descViolations, v.Number, string(v.Invariant))
	}
	for _, revision := range r.Revisions {
		out <- gauge(descRevision, float64(revision.Number), revision.Key)
	}
	for _, health := range []string{"alive", "suspect", "leaving", "dead"} {
		var number float64
		for _, vm := range r.VMs {
			if vm.Health == health {
				number++
			}
		}
		out <- gauge(descVMs, number, health)
	}
}

func collectUpstream(out chan<- prometheus.Metric, u driftstatus.Upstream) {
	out <- gauge(descLimit, float64(u.Limit), u.Name)
	out <- gauge(descInFlight, float64(u.InFlight), u.Name)
	out <- gauge(descQueued, float64(u.Queued), u.Name)
	out <- gauge(descConns, float64(u.Connections), u.Name)
	out <- gauge(descCold, boolValue(u.Cold), u.Name)
}

func counter(d *prometheus.Desc, value uint64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

func gauge(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
