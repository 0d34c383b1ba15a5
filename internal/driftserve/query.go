package driftserve

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftlisten"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// maxQueryBytes is the largest query size that is accepted.
const maxQueryBytes = 1 << 20

// Reasons of refusals that are made before a query reaches the front, or after
// a handler has panicked.
const (
	reasonMalformed = "malformed"
	reasonOversized = "oversized"
	reasonPath      = "path"
	reasonMethod    = "method"
	reasonInternal  = "internal"
)

// retryNoRoom is when a caller may try again for whose body there was no room.
const retryNoRoom = time.Second

// readQuery reads a query from a request. The refusal has no reason when the
// query is valid.
func readQuery(w http.ResponseWriter, r *http.Request) (q driftapi.Query, refusal driftapi.Refusal) {
	body, err := driftlisten.ReadBody(r, maxQueryBytes)
	if err != nil {
		// What follows on the connection would be the rest of the body.
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, driftlisten.ErrTooLong):
		refusal = malformedRefusal(requestID(body), err)
		refusal.Reason = reasonOversized
		return q, refusal
	case errors.Is(err, driftlisten.ErrNoRoom):
		return q, driftapi.Refusal{
			Request: requestID(body), Ran: driftapi.RanNo, Reason: string(driftshard.ReasonFull), Retry: retryNoRoom.Milliseconds(),
			Detail: "no memory for the body",
		}
	case err != nil:
		return q, malformedRefusal(requestID(body), err)
	}
	q, err = parseQuery(body)
	if err != nil {
		return q, malformedRefusal(requestID(body), err)
	}
	return q, refusal
}

// parseQuery reads and validates a query. The error names the field.
func parseQuery(body []byte) (q driftapi.Query, err error) {
	if err := driftdocument.DecodeStrict(body, &q); err != nil {
		return driftapi.Query{}, err
	}
	return q, driftdocument.Validate(q)
}

// malformedRefusal returns the refusal of a request that could not be read.
func malformedRefusal(request string, err error) driftapi.Refusal {
	r := driftapi.Refusal{
		Request: request, Ran: driftapi.RanNo, Reason: reasonMalformed, Detail: errors.Cause(err).Error(),
	}
	var field driftdocument.FieldError
	if errors.As(err, &field) {
		r.Field, r.Detail = field.Field, field.Error()
	}
	return r
}

// maxRequestID is the length of the longest request id that a refusal
// contains.
const maxRequestID = 128

// requestID returns the request id of a body that may be malformed or
// truncated. It returns "" if no id of at most maxRequestID bytes can be read.
func requestID(body []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if t, err := decoder.Token(); err != nil || t != json.Delim('{') {
		return ""
	}
	for {
		key, err := decoder.Token()
		if err != nil {
			return ""
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return ""
		}
		var id string
		if key == "request" && json.Unmarshal(value, &id) == nil && len(id) <= maxRequestID {
			return id
		}
	}
}
