// Package driftexchange sends opaque HTTP/1.1 requests to upstreams, one at a
// time on each connection, and reports for each whether it ran.
//
// Nothing is ever sent twice: a Conn writes the request once and reports Done,
// NotRun or Unknown. Replies to another request are recognized by their request
// id and skipped, and a connection that received anything unexpected is not
// reused.
//
// # Usage
//
//	conn, err := driftexchange.Dial(ctx, driftexchange.DialTCP, "10.128.0.9:8080", headers)
//	conn.Send(request, expect, deadline, func(result driftexchange.Result) {
//		switch result := result.(type) {
//		case driftexchange.Done:
//			fmt.Println(result.Reply.Status)
//		}
//	})
package driftexchange

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
)

// Headers are the names of the headers exchanged with upstreams, in canonical
// form.
type Headers struct {
	// Request carries the id of a request, which replies echo.
	Request string
	// Deadline carries the time left for the request, in milliseconds.
	Deadline string
	// Expect carries the incarnation of the upstream that the request is meant
	// for. The name is empty if no such header is sent.
	Expect string
	// Signature carries the signature that an upstream attaches to its own
	// replies.
	Signature string
	// NotRun is set on refusals of requests that did not run.
	NotRun string
	// Load carries the numbers of running requests, waiting requests and slots.
	Load string
	// RateLimit carries the requests a second that the upstream accepts from all
	// callers together. Replies have it while the upstream limits its rate.
	RateLimit string
	// Instance and ColdLeft are set on replies to health requests: the incarnation
	// of the upstream, and for how many milliseconds it stays cold.
	Instance, ColdLeft string
	// Leaving is set to 1 in the replies of an upstream that is about to end.
	Leaving string
	// RetryAfter carries, in a refusal with status 503, how many seconds the upstream
	// wants no requests of this caller.
	RetryAfter string
	// PartSignatures lists the signatures of the merged shard replies.
	PartSignatures string
	// MissingParts carries the number of shards that an answer lacks.
	MissingParts string
	// Key carries, in a caller's request, the scheme KeyScheme and the key of a client
	// account. Upstreams are told the account's name, in Account, and never the key.
	Key, KeyScheme, Account string
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
	// Key is that of the caller's account. It is never sent.
	Key driftaccount.Key
	// Unsigned is set if a reply without signature is valid, as to a health request.
	Unsigned bool
}

// Reply is a complete reply of an upstream.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// ContentLength is the announced length of the body in bytes, or -1 if none
	// was announced.
	ContentLength int64
}

// Result is the outcome of a request: Done, NotRun or Unknown.
type Result interface{ result() }

// Done means that the upstream replied.
type Done struct{ Reply Reply }

// NotRun means that the request certainly did not run.
type NotRun struct {
	// Misdirected is set if the address now belongs to another upstream.
	Misdirected bool
	// Refused is set if the upstream received and refused the request.
	Refused bool
	// Status and Header are those of the refusal, 0 and nil if there was none.
	Status int
	Header http.Header
	Err    error
}

// Unknown means that the request may have run.
type Unknown struct {
	// Header is that of the invalid reply, nil if there was none.
	Header http.Header
	Err    error
}

func (Done) result()    {}
func (NotRun) result()  {}
func (Unknown) result() {}

// Errors that explain why an exchange failed.
const (
	ErrClosed      = errors.ConstError("connection closed")
	ErrDeadline    = errors.ConstError("deadline exceeded")
	ErrNoSignature = errors.ConstError("reply without signature")
	ErrRefused     = errors.ConstError("refused by the upstream")
	ErrTooLong     = errors.ConstError("reply too large")
	ErrMalformed   = errors.ConstError("malformed reply")
	ErrAborted     = errors.ConstError("attempt abandoned")
	ErrMemory      = errors.ConstError("memory for replies used up")
)

// classifyReply returns the result that a reply means for its request. Unsigned is
// set if the reply needs no signature.
func classifyReply(r Reply, h Headers, unsigned bool) Result {
	switch {
	case r.Status == http.StatusMisdirectedRequest && h.Expect != "":
		return NotRun{Misdirected: true, Refused: true, Status: r.Status, Header: r.Header, Err: ErrRefused}
	case r.Header.Get(h.NotRun) != "":
		return NotRun{Refused: true, Status: r.Status, Header: r.Header, Err: ErrRefused}
	case !unsigned && r.Status < http.StatusMultipleChoices && r.Header.Get(h.Signature) == "":
		return Unknown{Header: r.Header, Err: ErrNoSignature}
	default:
		return Done{Reply: r}
	}
}

// ParseRateLimit parses a number of requests a second.
func ParseRateLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return 0, false
	}
	return perSecond, true
}

// ParseRetryAfter parses numbers of seconds, which may be fractional, and returns the
// longest, at most maxRetryAfter. Other values are ignored: dates too, as the clocks of
// two VMs may differ.
func ParseRetryAfter(values []string) (wait time.Duration, ok bool) {
	for _, text := range values {
		text = strings.TrimSpace(text)
		// ParseFloat also takes signs, words such as "inf" and hexadecimal numbers.
		if text == "" || !strings.ContainsRune("0123456789.", rune(text[0])) || strings.ContainsAny(text, "xX_") {
			continue
		}
		seconds, err := strconv.ParseFloat(text, 64)
		if seconds <= 0 || (err != nil && !math.IsInf(seconds, 1)) {
			continue
		}
		wait, ok = max(wait, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second))), true
	}
	return wait, ok
}

// maxRetryAfter is the longest time that ParseRetryAfter returns.
const maxRetryAfter = 24 * time.Hour

// ParseLeaving reports whether one of the values of the header says that the
// upstream leaves.
func ParseLeaving(values []string) bool {
	return slices.ContainsFunc(values, func(text string) bool { return strings.TrimSpace(text) == "1" })
}

// encode returns the request line and headers as they are sent.
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

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
	// WorkFactor is by which factor work takes longer than usual there at this
	// moment, 0 if the upstream does not say so.
	WorkFactor float64
}

// ParseLoad parses a load of the form "running,waiting,slots", to which a fourth figure
// may be added: how long work takes, in percent of the usual time. If that is not a
// positive decimal number of at most maxWorkPercent, WorkFactor is 0 and the others hold.
// Further figures are not used.
func ParseLoad(text string) (load Load, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) < 3 {
		return Load{}, false
	}
	for i, value := range []*int{&load.Running, &load.Waiting, &load.Slots} {
		v, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || v < 0 {
			return Load{}, false
		}
		*value = v
	}
	if len(fields) > 3 {
		load.WorkFactor = parseWorkFactor(strings.TrimSpace(fields[3]))
	}
	return load, true
}

// maxWorkPercent is the largest figure that is believed.
const maxWorkPercent = 100_000

func parseWorkFactor(text string) float64 {
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || percent <= 0 || percent > maxWorkPercent {
		return 0
	}
	return percent / 100
}
