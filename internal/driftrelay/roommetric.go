package driftrelay

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// roomMetrics are the metrics of services that are short of slots.
type roomMetrics struct {
	shortServices prometheus.Gauge
	roomWaits     *prometheus.CounterVec
	roomRefusals  *prometheus.CounterVec
	floorTurns    *prometheus.CounterVec
}

func newRoomMetrics(registerer prometheus.Registerer) roomMetrics {
	m := roomMetrics{
		shortServices: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "drift_short_services", Help: "Services that are short of slots.",
		}),
		roomWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_room_waits_total", Help: "Requests to a service that waited for their turn, by priority.",
		}, []string{"priority"}),
		roomRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_room_refusals_total", Help: "Requests to a service that were refused as their turn would come too late, by priority.",
		}, []string{"priority"}),
		floorTurns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "drift_room_floors_total", Help: "Requests to a service that went before more urgent ones, as their claimant was below its floor, by priority.",
		}, []string{"priority"}),
	}
	registerer.MustRegister(m.shortServices, m.roomWaits, m.roomRefusals, m.floorTurns)
	return m
}

func (m *Metrics) setShortServices(services int) {
	if m != nil {
		m.shortServices.Set(float64(services))
	}
}

func (m *Metrics) countRoomWait(priority int) {
	if m != nil {
		m.roomWaits.WithLabelValues(strconv.Itoa(priority)).Inc()
	}
}

func (m *Metrics) countRoomRefusal(priority int) {
	if m != nil {
		m.roomRefusals.WithLabelValues(strconv.Itoa(priority)).Inc()
	}
}

func (m *Metrics) countFloorTurn(priority int) {
	if m != nil {
		m.floorTurns.WithLabelValues(strconv.Itoa(priority)).Inc()
	}
}
