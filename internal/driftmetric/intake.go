package driftmetric

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftintake"
)

// intakeLogPeriod is the time between two events about what was closed and refused.
const intakeLogPeriod = time.Second

// IntakeMetrics count and log what the bounds on callers close and refuse. They are safe
// for concurrent use.
type IntakeMetrics struct {
	events  driftevent.Recorder
	account *driftintake.Account
	refused *prometheus.CounterVec

	mu     sync.Mutex
	counts map[driftintake.Cause]int
}

// NewIntakeMetrics returns the metrics of an account, registered with the registerer.
func NewIntakeMetrics(registerer prometheus.Registerer, events driftevent.Recorder, account *driftintake.Account) *IntakeMetrics {
	m := &IntakeMetrics{events: events, account: account, counts: make(map[driftintake.Cause]int), refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "drift_intake_refused_total", Help: "Connections closed and requests refused by the bounds on callers, by cause.",
	}, []string{"cause"})}
	registerer.MustRegister(m.refused)
	for class, name := range map[driftintake.Class]string{driftintake.Callers: "callers", driftintake.VMs: "vms", driftintake.Operators: "operators"} {
		labels := prometheus.Labels{"class": name}
		registerer.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "drift_intake_bytes", Help: "Bytes that are counted for requests that are not answered yet.", ConstLabels: labels,
			}, func() float64 { return float64(account.Usage(class).Bytes) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "drift_intake_connections", Help: "Connections that are open.", ConstLabels: labels,
			}, func() float64 { return float64(account.Usage(class).Conns) }))
	}
	return m
}

// Record counts one connection that was closed or one request that was refused.
func (m *IntakeMetrics) Record(cause driftintake.Cause) {
	m.refused.WithLabelValues(string(cause)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[cause]++
}

// Run logs what was counted, at most once a second, until the context ends.
func (m *IntakeMetrics) Run(ctx context.Context) {
	ticker := time.NewTicker(intakeLogPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.log()
		}
	}
}

// log logs what was counted since the last call. An idle connection that was closed is
// no trouble.
func (m *IntakeMetrics) log() {
	m.mu.Lock()
	counts := m.counts
	m.counts = make(map[driftintake.Cause]int)
	m.mu.Unlock()
	var parts []string
	for _, cause := range []driftintake.Cause{
		driftintake.CauseCrowd, driftintake.CauseSlow, driftintake.CauseFull, driftintake.CauseLong, driftintake.CauseHead, driftintake.CauseBody,
	} {
		if counts[cause] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", cause, counts[cause]))
		}
	}
	if len(parts) > 0 {
		used := m.account.Usage(driftintake.Callers)
		m.events.Record(driftevent.CallersCutOff, "", "", fmt.Sprintf("%s; callers hold %d connections and %d KB", strings.Join(parts, ", "), used.Conns, used.Bytes>>10))
	}
}
