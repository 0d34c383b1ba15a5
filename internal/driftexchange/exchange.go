// Package driftexchange sends opaque HTTP/1.1 requests to upstreams, one at a
// time on each connection, and tells what is known of their fate.
//
// Nothing is ever sent twice: a Conn writes the request once and reports Done,
// NotRun or Unknown. Replies that belong to another request are skipped by
// their request id, and a connection on which anything unexpected arrived is
// not used again.
//
// # Usage
//
//	conn, err := driftexchange.Dial(ctx, driftexchange.DialTCP, "10.128.0.9:8080", headers)
//	conn.Send(request, deadline, func(result driftexchange.Result) {
//		switch result := result.(type) {
//		case driftexchange.Done:
//			fmt.Println(result.Reply.Status)
//		}
//	})
package driftexchange

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Headers are the names of the headers that carry what the system and its
// upstreams tell each other. All are in canonical form.
type Headers struct {
	// Request is the id of a request, which replies echo.
	Request string
	// Deadline is the time that is left, in milliseconds.
	Deadline string
	// Expect names the incarnation of the upstream that may run a request; it
	// is empty where upstreams are not told.
	Expect string
	// Signature is what an upstream attaches to a reply of its own.
	Signature string
	// NotRun is set on refusals of requests that did not run.
	NotRun string
	// Load is the number of running and waiting requests and of slots.
	Load string
	// PartSignatures lists the proofs of the merged parts.
	PartSignatures string
	// MissingParts is the number of shards that an answer lacks.
	MissingParts string
}

// Request is a request as the caller sent it.
type Request struct {
	ID     string
	Method string
	// Target is the path and query, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Reply is a complete reply of an upstream.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// ContentLength is the length of the body that the upstream announced, in
	// bytes, or -1.
	ContentLength int64
}

// Result is the fate of a request: Done, NotRun or Unknown.
type Result interface{ result() }

// Done says that the upstream answered.
type Done struct{ Reply Reply }

// NotRun says that the request surely did not run.
type NotRun struct {
	// Misdirected is set if another upstream has the address now.
	Misdirected bool
	// Refused is set if the upstream itself refused.
	Refused bool
	Err     error
}

// Unknown says that the request may have run.
type Unknown struct{ Err error }

func (Done) result()    {}
func (NotRun) result()  {}
func (Unknown) result() {}

// Errors that say why an exchange failed.
const (
	ErrClosed      = errors.ConstError("connection closed")
	ErrDeadline    = errors.ConstError("deadline over")
	ErrNoSignature = errors.ConstError("reply without proof")
	ErrRefused     = errors.ConstError("refused by the upstream")
	ErrTooLong     = errors.ConstError("reply too long")
)

// classifyReply turns a reply into the fate of its request.
func classifyReply(r Reply, h Headers) Result {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return NotRun{Misdirected: true, Refused: true, Err: ErrRefused}
	case r.Header.Get(h.NotRun) != "":
		return NotRun{Refused: true, Err: ErrRefused}
	case r.Status < http.StatusMultipleChoices && r.Header.Get(h.Signature) == "":
		return Unknown{Err: ErrNoSignature}
	default:
		return Done{Reply: r}
	}
}

// encode returns the head of a request as it goes on the wire.
func (r *Request) encode(h Headers, expect string, left time.Duration) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	if r.ID != "" {
		b.WriteString(h.Request + ": " + r.ID + "\r\n")
	}
	if expect != "" && h.Expect != "" {
		b.WriteString(h.Expect + ": " + expect + "\r\n")
	}
	b.WriteString(h.Deadline + ": " + strconv.FormatInt(max(1, left.Milliseconds()), 10) + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// Load is what an upstream says of its own load.
type Load struct {
	Running, Waiting, Slots int
}

// ParseLoad reads "running,waiting,slots".
func ParseLoad(text string) (load Load, ok bool) {
	var values [3]int
	for i := range values {
		field, rest, more := cutField(text)
		v, err := strconv.Atoi(field)
		if err != nil || v < 0 || more != (i < len(values)-1) {
			return Load{}, false
		}
		values[i], text = v, rest
	}
	return Load{Running: values[0], Waiting: values[1], Slots: values[2]}, true
}

func cutField(text string) (field, rest string, more bool) {
	b, a, found := bytes.Cut([]byte(text), []byte(","))
	return string(bytes.TrimSpace(b)), string(a), found
}
