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

// maxReadyViewAge is the view age above which a VM is not ready.
const maxReadyViewAge = 2 * time.Second

// maxLiveViewAge is the view age above which a VM counts as stuck.
const maxLiveViewAge = 30 * time.Second

// Largest request sizes that are accepted. Other VMs send several documents of
// up to a megabyte each.
const (
	maxOpsBytes   = 1 << 20
	maxPeersBytes = 64 << 20
)

// opsHandler is the handler for the metrics and health checks of operators.
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

// health is the answer to a health check.
type health struct {
	OK bool `json:"ok"`
	// Reason says why the check failed.
	Reason string `json:"reason,omitempty"`
}

func (h health) write(g *gin.Context) {
	status := http.StatusOK
	if !h.OK {
		status = http.StatusServiceUnavailable
	}
	g.JSON(status, h)
}

// readiness reports whether the VM may get work: its view is recent and has
// classes, it is neither marked out nor leaving nor fenced, and none of its
// upstreams waits for an earlier owner.
func readiness(v *drifttable.View, now time.Time) health {
	switch {
	case v.Age(now) > maxReadyViewAge:
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

// liveness reports whether the control goroutine still publishes views.
func liveness(v *drifttable.View, now time.Time) health {
	if v.Number > 0 && v.Age(now) > maxLiveViewAge {
		return health{Reason: "control publishes no views"}
	}
	return health{OK: true}
}

// peersHandler is the handler for the requests of other VMs.
type peersHandler struct {
	http.Handler
}

func newPeersHandler(node *driftnode.Node) peersHandler {
	return peersHandler{Handler: http.MaxBytesHandler(node.Server.Handler(), maxPeersBytes)}
}
