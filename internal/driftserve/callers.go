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

// callersHandler serves callers.
type callersHandler struct {
	http.Handler
}

// callers answers the requests of docs/CALLERS.md.
type callers struct {
	views   *drifttable.ViewHolder
	front   *driftfront.Front
	steer   *driftsteer.EntrySelector
	events  driftevent.Recorder
	queries *driftmetric.Queries
}

func newCallersHandler(registry *prometheus.Registry, node *driftnode.Node) callersHandler {
	gin.SetMode(gin.ReleaseMode)
	c := &callers{
		views: node.Views(), front: node.Front, steer: node.Steer, events: node.Events,
		queries: driftmetric.NewQueries(registry),
	}
	return callersHandler{Handler: c.engine()}
}

func (c *callers) engine() *gin.Engine {
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(gin.CustomRecoveryWithWriter(nil, c.recovered))
	engine.GET(driftapi.PathEntries, c.entries)
	engine.POST(driftapi.PathQuery, c.query)
	engine.NoRoute(func(g *gin.Context) { c.misdirected(g, http.StatusNotFound, reasonPath) })
	engine.NoMethod(func(g *gin.Context) { c.misdirected(g, http.StatusMethodNotAllowed, reasonMethod) })
	return engine
}

// entriesQuery is what a caller tells of itself when it asks for entry VMs.
type entriesQuery struct {
	Caller string `json:"caller" validate:"max=128"`
	Domain string `json:"domain" validate:"max=64"`
}

func (c *callers) entries(g *gin.Context) {
	q := entriesQuery{Caller: g.Query("caller"), Domain: g.Query("domain")}
	if err := driftdocument.Validate(q); err != nil {
		g.JSON(http.StatusBadRequest, malformed("", err))
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
		c.queries.Answered(q.Class, o.Answer.Complete, time.Since(started))
		g.JSON(http.StatusOK, o.Answer)
	case driftfront.Refused:
		o.Refusal.Entries = c.steer.Entries(q.Request, "").Entries
		c.refuse(g, q.Class, o.Refusal, started)
	}
}

// refuse answers with a refusal and counts it. Only published classes are
// counted by name.
func (c *callers) refuse(g *gin.Context, class string, r driftapi.Refusal, started time.Time) {
	if !c.views.Load().Classes.Has(class) {
		class = ""
	}
	c.queries.Refused(class, r.Reason, string(r.Ran), time.Since(started))
	if r.Retry > 0 {
		g.Header("Retry-After", retryAfter(r.Retry))
	}
	g.JSON(status(r), r)
}

// retryAfter returns whole seconds, rounded up, for a time in milliseconds.
func retryAfter(millis int64) string {
	const millisPerSecond = 1000
	return strconv.Itoa(int(math.Ceil(float64(millis) / millisPerSecond)))
}

// misdirected refuses a request to what is no resource.
func (c *callers) misdirected(g *gin.Context, status int, reason string) {
	g.JSON(status, driftapi.Refusal{
		Ran: driftapi.RanNo, Reason: reason,
		Detail: "resources are GET " + driftapi.PathEntries + " and POST " + driftapi.PathQuery,
	})
}

// recovered answers for a handler that panicked. The request may have run.
func (c *callers) recovered(g *gin.Context, cause any) {
	c.events.Record(driftevent.InternalErrorFound, "", g.Request.URL.Path, errors.Errorf("%v", cause).Error())
	g.AbortWithStatusJSON(http.StatusInternalServerError, driftapi.Refusal{
		Ran: driftapi.RanUnknown, Reason: reasonInternal,
	})
}

// status is the HTTP status of a refusal.
func status(r driftapi.Refusal) int {
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
