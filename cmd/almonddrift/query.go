package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
	"github.com/almonddrift/almonddrift/pkg/driftclient"
)

// queryCommand sends one query as a caller would.
type queryCommand struct {
	Entry    []string      `help:"Addresses of entry VMs, IP number and port." required:""`
	Class    string        `help:"Class of work." required:""`
	Text     string        `help:"What to search for."`
	Depots   []string      `help:"Depots to search. None means all."`
	Deadline time.Duration `help:"How long to wait." default:"1s"`
	Request  string        `help:"Request id. Without it a new one is made."`
	Caller   string        `help:"The caller's name, by which callers are spread." default:"almonddrift-query"`
	Domain   string        `help:"The caller's failure domain, whose VMs come first."`
	Explain  bool          `help:"Show the attempts, shard by shard, and why depots are missing."`
	JSON     bool          `help:"Print the answer or the refusal as JSON."`
}

// Help implements kong.HelpProvider.
func (q *queryCommand) Help() string {
	return `Exits with 1 when the query is refused; the output then tells whether it ran.

Example: almonddrift query --entry 10.0.0.1:7000 --class fire --text loudhailer --explain`
}

// Run implements the command.
func (q *queryCommand) Run(ctx context.Context, out *output) error {
	if q.Request == "" {
		q.Request = rand.Text()
	}
	client := driftclient.New(q.Entry, driftclient.WithCaller(q.Caller), driftclient.WithDomain(q.Domain))
	answer, err := client.Query(ctx, driftapi.Query{
		Request: q.Request, Class: q.Class, Text: q.Text, Depots: q.Depots,
		Deadline: q.Deadline.Milliseconds(), Explain: q.Explain,
	})
	var refusal driftapi.Refusal
	if errors.As(err, &refusal) {
		return errors.Join(out.print(q.JSON, printedRefusal{refusal}), err)
	}
	if err != nil {
		return err
	}
	return out.print(q.JSON, printedAnswer{answer})
}

// printedAnswer prints an answer as text: its rows, a summary, the missing
// depots and the attempts.
type printedAnswer struct {
	driftapi.Answer
}

// Write implements textWriter.
func (a printedAnswer) Write(w io.Writer) error {
	var text strings.Builder
	for _, r := range a.Rows {
		fmt.Fprintf(&text, "%s  %s\n", r.Depot, r.Text)
	}
	fmt.Fprintf(&text, "request %s: %d rows of %d depots, coverage %.3f, version %d, %.1f ms\n",
		a.Request, len(a.Rows), len(a.Searched), a.Coverage(), a.Version, a.Time)
	for _, m := range a.Missing {
		fmt.Fprintf(&text, "missing %s: %s\n", m.Depot, m.Reason)
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return err
	}
	return writeAttempts(w, a.Attempts)
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

// writeAttempts prints the attempts as a table.
func writeAttempts(w io.Writer, attempts []driftapi.Attempt) error {
	if len(attempts) == 0 {
		return nil
	}
	var table strings.Builder
	table.WriteString("\nshard\towner\tupstream\tversion\tstart ms\ttime ms\thedge\tresult\tattempt\n")
	for _, a := range attempts {
		fmt.Fprintf(&table, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%t\t%s\t%s\n",
			a.Shard, a.Owner, a.Upstream, a.Version, a.Start, a.Time, a.Hedge, a.Result, a.ID)
	}
	aligned := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(aligned, table.String()); err != nil {
		return err
	}
	return aligned.Flush()
}

// printedRefusal prints a refusal as one line of text.
type printedRefusal struct {
	driftapi.Refusal
}

// Write implements textWriter.
func (r printedRefusal) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: ran: %s, reason: %s", r.Request, r.Ran, r.Reason)
	if r.Field != "" {
		fmt.Fprintf(&text, ", field: %s", r.Field)
	}
	if r.Retry > 0 {
		fmt.Fprintf(&text, ", retry after %d ms", r.Retry)
	}
	text.WriteByte('\n')
	_, err := io.WriteString(w, text.String())
	return err
}
