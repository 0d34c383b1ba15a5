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
	engine.GET("/live", func(g *gin.Context) { g.Status(http.StatusOK) })
	engine.GET("/ready", func(g *gin.Context) { g.Status(readiness(node.Views().Load())) })
	return opsHandler{Handler: http.MaxBytesHandler(engine, maxOpsBytes)}
}

// readiness is 200 once a fresh view has classes and this VM may serve.
func readiness(v *drifttable.View) int {
	if v.Age(time.Now()) > readyAge || v.Classes.Len() == 0 || v.VMOut(v.Self) || !v.Settled(time.Now()) {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// peersHandler serves other VMs.
type peersHandler struct {
	http.Handler
}

func newPeersHandler(node *driftnode.Node) peersHandler {
	return peersHandler{Handler: http.MaxBytesHandler(node.Server.Handler(), maxPeersBytes)}
}
