// Package driftapi holds the types that callers of almonddrift send and
// receive as JSON over HTTP. docs/CALLERS.md describes the interface.
//
// # Usage
//
//	query := driftapi.Query{
//		Request: "c0ffee-1", Class: "counter", Text: "church", Deadline: 200,
//	}
package driftapi

// Paths of the resources that a VM serves at its caller address.
const (
	PathEntries = "/v1/entries"
	PathQuery   = "/v1/query"
)

// Query is a search request of a caller.
type Query struct {
	// Request is the request id that the caller chooses. It is an
	// idempotency key.
	Request string `json:"request" validate:"required,max=128,printascii"`
	Class   string `json:"class" validate:"required,max=64"`
	// Depots limits the search. An empty list means all depots.
	Depots []string `json:"depots,omitempty" validate:"max=4096,dive,required,max=128"`
	Text   string   `json:"text" validate:"max=4096"`
	// Deadline is the time that the caller waits for the answer, in
	// milliseconds.
	Deadline int64 `json:"deadline" validate:"required,min=1,max=600000"`
	// Explain asks for a list of the attempts at each shard.
	Explain bool `json:"explain,omitempty"`
}

// Row is one result row and the depot that it comes from.
type Row struct {
	Depot string `json:"depot"`
	Text  string `json:"text"`
}

// Missing names a depot that was not searched and the reason.
type Missing struct {
	Depot  string `json:"depot"`
	Reason string `json:"reason"`
}

// Answer is the answer to a Query. Every row comes from index version
// Version. Searched and Missing together list the requested depots.
type Answer struct {
	Request  string    `json:"request"`
	Version  uint64    `json:"version"`
	Complete bool      `json:"complete"`
	Rows     []Row     `json:"rows"`
	Searched []string  `json:"searched"`
	Missing  []Missing `json:"missing"`
	// Time is the time that the VM spent on the query, in milliseconds.
	Time     float64   `json:"time"`
	Attempts []Attempt `json:"attempts,omitempty"`
}

// Coverage returns the fraction of the requested depots that was searched,
// between 0 and 1. It is 1 when no depot was requested.
func (a Answer) Coverage() float64 {
	total := len(a.Searched) + len(a.Missing)
	if total == 0 {
		return 1
	}
	return float64(len(a.Searched)) / float64(total)
}

// Attempt describes one attempt at one shard. Start, measured from the start of
// the query, and Time, the duration of the attempt, are in milliseconds.
type Attempt struct {
	ID       string  `json:"id"`
	Shard    string  `json:"shard"`
	Owner    string  `json:"owner"`
	Upstream string  `json:"upstream"`
	Version  uint64  `json:"version"`
	Hedge    bool    `json:"hedge"`
	Result   string  `json:"result"`
	Start    float64 `json:"start"`
	Time     float64 `json:"time"`
}

// Ran tells whether a refused request has run.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is the reply to a request that is not answered.
type Refusal struct {
	Request string `json:"request"`
	Ran     Ran    `json:"ran"`
	Reason  string `json:"reason"`
	// Field names the invalid field of a malformed request.
	Field string `json:"field,omitempty"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail,omitempty"`
	// Retry is the time to wait before a retry, in milliseconds.
	Retry int64 `json:"retry,omitempty"`
	// Entries lists other entry VMs to try.
	Entries []Entry `json:"entries,omitempty"`
}

// Error implements error.
func (r Refusal) Error() string {
	s := "refused: " + r.Reason + " (ran: " + string(r.Ran) + ")"
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	return s
}

// Entry is an entry VM that a caller may connect to.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// Entries is the ordered list of entry VMs for one caller. Life is its time to
// live in milliseconds.
type Entries struct {
	Entries []Entry `json:"entries"`
	Life    int64   `json:"life"`
}
