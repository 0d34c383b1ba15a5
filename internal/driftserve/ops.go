package driftserve

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/almonddrift/almonddrift/internal/driftmetric"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// readyAge is the age of a view above which a VM is not ready.
const readyAge = 2 * time.Second

// liveAge is the age of a view above which a VM is taken to be stuck.
const liveAge = 30 * time.Second

// Sizes of the largest requests that are read. Other VMs pass on documents
// of up to a megabyte each.
const (
	maxOpsBytes   = 1 << 20
	maxPeersBytes = 64 << 20
)

// opsHandler serves operators.
type opsHandler struct {
	http.Handler
}

func newOpsHandler(registry *prometheus.Registry, node *driftnode.Node) opsHandler {
	registry.MustRegister(driftmetric.NewCollector(node.Status, node.Events))
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.GET("/metrics", gin.WrapH(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	engine.GET("/live", func(g *gin.Context) { liveness(node.Views().Load(), time.Now()).write(g) })
	engine.GET("/ready", func(g *gin.Context) { readiness(node.Views().Load(), time.Now()).write(g) })
	return opsHandler{Handler: http.MaxBytesHandler(engine, maxOpsBytes)}
}

// health is what a VM answers when it is asked whether it works.
type health struct {
	OK bool `json:"ok"`
	// Reason tells why not.
	Reason string `json:"reason,omitempty"`
}

func (h health) write(g *gin.Context) {
	status := http.StatusOK
	if !h.OK {
		status = http.StatusServiceUnavailable
	}
	g.JSON(status, h)
}

// readiness tells whether the VM may be given work: its view is fresh and has
// classes, it is in service, and what it owns waits for no earlier owner.
func readiness(v *drifttable.View, now time.Time) health {
	switch {
	case v.Age(now) > readyAge:
		return health{Reason: "its view is too old"}
	case v.Classes.Len() == 0:
		return health{Reason: "no classes are in force"}
	case v.VMOut(v.Self):
		return health{Reason: "it is out or leaving"}
	case !v.OwnershipReady(now):
		return health{Reason: "it is fenced, or an upstream waits for its earlier owner"}
	}
	return health{OK: true}
}

// liveness tells whether the control goroutine still publishes views.
func liveness(v *drifttable.View, now time.Time) health {
	if v.Number > 0 && v.Age(now) > liveAge {
		return health{Reason: "control publishes no views"}
	}
	return health{OK: true}
}

// peersHandler serves other VMs.
type peersHandler struct {
	http.Handler
}

func newPeersHandler(node *driftnode.Node) peersHandler {
	return peersHandler{Handler: http.MaxBytesHandler(node.Server.Handler(), maxPeersBytes)}
}
