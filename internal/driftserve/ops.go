package driftserve

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/almonddrift/almonddrift/internal/driftnode"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// readyAge is the age of a view above which a VM is not ready.
const readyAge = 2 * time.Second

// opsHandler serves operators.
type opsHandler struct {
	http.Handler
}

func newOpsHandler(registry *prometheus.Registry, node *driftnode.Node) opsHandler {
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.GET("/metrics", gin.WrapH(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	engine.GET("/live", func(g *gin.Context) { g.Status(http.StatusOK) })
	engine.GET("/ready", func(g *gin.Context) { g.Status(readiness(node.Views().Load())) })
	return opsHandler{Handler: engine}
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
	return peersHandler{Handler: pb.NewPeerServer(node.Server)}
}
