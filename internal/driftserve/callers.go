package driftserve

import (
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/driftsteer"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// maxQueryBytes is the size of the largest query that is accepted.
const maxQueryBytes = 1 << 20

// Reasons of refusals that the listener gives itself.
const (
	reasonMalformed = "malformed"
	reasonOversized = "oversized"
)

// callersHandler serves callers.
type callersHandler struct {
	http.Handler
}

// callers answers the requests of docs/CALLERS.md.
type callers struct {
	front *driftfront.Front
	steer *driftsteer.Steer
}

func newCallersHandler(node *driftnode.Node) callersHandler {
	gin.SetMode(gin.ReleaseMode)
	c := &callers{front: node.Front, steer: node.Steer}
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.GET(driftapi.PathEntries, c.entries)
	engine.POST(driftapi.PathQuery, c.query)
	return callersHandler{Handler: engine}
}

func (c *callers) entries(g *gin.Context) {
	g.JSON(http.StatusOK, c.steer.Entries(g.Query("caller"), g.Query("domain")))
}

func (c *callers) query(g *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(g.Writer, g.Request.Body, maxQueryBytes))
	if err != nil {
		g.JSON(http.StatusRequestEntityTooLarge, refusal("", reasonOversized, err))
		return
	}
	q, err := parseQuery(body)
	if err != nil {
		g.JSON(http.StatusBadRequest, refusal(q.Request, reasonMalformed, err))
		return
	}
	switch o := c.front.Query(g.Request.Context(), q).(type) {
	case driftfront.Answered:
		g.JSON(http.StatusOK, o.Answer)
	case driftfront.Refused:
		o.Refusal.Entries = c.steer.Entries(q.Request, "").Entries
		g.JSON(status(o.Refusal), o.Refusal)
	}
}

// parseQuery reads and validates a query. The error names the field.
func parseQuery(body []byte) (q driftapi.Query, err error) {
	if err := driftdocument.DecodeStrict(body, &q); err != nil {
		return driftapi.Query{}, err
	}
	return q, driftdocument.Validate(q)
}

func refusal(request, reason string, err error) driftapi.Refusal {
	r := driftapi.Refusal{
		Request: request, Ran: driftapi.RanNo, Reason: reason, Detail: errors.Cause(err).Error(),
	}
	var field driftdocument.FieldError
	if errors.As(err, &field) {
		r.Field = field.Field
	}
	return r
}

// status is the HTTP status of a refusal.
func status(r driftapi.Refusal) int {
	switch {
	case driftshard.Reason(r.Reason) == driftshard.ReasonUnclassified:
		return http.StatusNotFound
	case r.Ran == driftapi.RanNo:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
