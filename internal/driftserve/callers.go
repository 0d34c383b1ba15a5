package driftserve

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftmetric"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/driftsteer"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// callersHandler is the handler for the requests of callers.
type callersHandler struct {
	http.Handler
}

// callers answers the requests that docs/CALLERS.md describes.
type callers struct {
	views   *drifttable.ViewHolder
	front   *driftfront.Front
	steer   *driftsteer.EntrySelector
	events  driftevent.Recorder
	queries *driftmetric.QueryMetrics
}

func newCallersHandler(registry *prometheus.Registry, node *driftnode.Node) callersHandler {
	gin.SetMode(gin.ReleaseMode)
	c := &callers{
		views: node.Views(), front: node.Front, steer: node.Steer, events: node.Events,
		queries: driftmetric.NewQueryMetrics(registry),
	}
	return callersHandler{Handler: c.engine()}
}

func (c *callers) engine() *gin.Engine {
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(gin.CustomRecoveryWithWriter(nil, c.handlePanic))
	engine.GET(driftapi.PathEntries, c.entries)
	engine.POST(driftapi.PathQuery, c.query)
	engine.NoRoute(func(g *gin.Context) { c.rejectUnrouted(g, http.StatusNotFound, reasonPath) })
	engine.NoMethod(func(g *gin.Context) { c.rejectUnrouted(g, http.StatusMethodNotAllowed, reasonMethod) })
	return engine
}

// entriesQuery holds the query parameters of a request for entry VMs.
type entriesQuery struct {
	Caller string `json:"caller" validate:"max=128"`
	Domain string `json:"domain" validate:"max=64"`
}

func (c *callers) entries(g *gin.Context) {
	q := entriesQuery{Caller: g.Query("caller"), Domain: g.Query("domain")}
	if err := driftdocument.Validate(q); err != nil {
		g.JSON(http.StatusBadRequest, malformedRefusal("", err))
		return
	}
	g.JSON(http.StatusOK, c.steer.Entries(q.Caller, q.Domain))
}

func (c *callers) query(g *gin.Context) {
	started := time.Now()
	q, refusal := readQuery(g.Writer, g.Request)
	if refusal.Reason != "" {
		c.refuse(g, "", refusal, started)
		return
	}
	switch o := c.front.Query(g.Request.Context(), q).(type) {
	case driftfront.Answered:
		c.queries.RecordAnswer(q.Class, o.Answer.Complete, time.Since(started))
		g.JSON(http.StatusOK, o.Answer)
	case driftfront.Refused:
		o.Refusal.Entries = c.steer.Entries(q.Request, "").Entries
		c.refuse(g, q.Class, o.Refusal, started)
	}
}

// refuse answers with a refusal and counts it. The metric names only published
// classes.
func (c *callers) refuse(g *gin.Context, class string, r driftapi.Refusal, started time.Time) {
	if !c.views.Load().Classes.Has(class) {
		class = ""
	}
	c.queries.RecordRefusal(class, r.Reason, string(r.Ran), time.Since(started))
	if r.Retry > 0 {
		g.Header("Retry-After", retryAfter(r.Retry))
	}
	g.JSON(statusCode(r), r)
}

// retryAfter converts milliseconds to whole seconds, rounded up.
func retryAfter(millis int64) string {
	const millisPerSecond = 1000
	return strconv.Itoa(int(math.Ceil(float64(millis) / millisPerSecond)))
}

// rejectUnrouted refuses a request with an unknown path or method.
func (c *callers) rejectUnrouted(g *gin.Context, status int, reason string) {
	g.JSON(status, driftapi.Refusal{
		Ran: driftapi.RanNo, Reason: reason,
		Detail: "resources are GET " + driftapi.PathEntries + " and POST " + driftapi.PathQuery,
	})
}

// handlePanic answers a request whose handler panicked. The request may have
// run.
func (c *callers) handlePanic(g *gin.Context, cause any) {
	c.events.Record(driftevent.InternalError, "", g.Request.URL.Path, errors.Errorf("%v", cause).Error())
	g.AbortWithStatusJSON(http.StatusInternalServerError, driftapi.Refusal{
		Ran: driftapi.RanUnknown, Reason: reasonInternal,
	})
}

// statusCode returns the HTTP status of a refusal.
func statusCode(r driftapi.Refusal) int {
	switch {
	case r.Reason == reasonOversized:
		return http.StatusRequestEntityTooLarge
	case r.Reason == reasonMalformed || r.Field != "":
		return http.StatusBadRequest
	case driftshard.Reason(r.Reason) == driftshard.ReasonUnclassified:
		return http.StatusNotFound
	case r.Ran == driftapi.RanNo:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
