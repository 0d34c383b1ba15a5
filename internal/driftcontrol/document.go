package driftcontrol

import (
	"context"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times of the configuration reader.
const (
	// retryRead is the pause after a read that failed or found no value.
	retryRead = 500 * time.Millisecond
	// watchLimit is how long a watch may wait before it is made anew.
	watchLimit = 30 * time.Second
)

// documentRow is a document in force.
type documentRow struct {
	value    driftplatform.Value
	document driftdocument.Document
}

// documentTable holds the documents in force by their keys.
type documentTable struct {
	rows map[string]documentRow
	// changes counts the documents that were put, digest identifies their
	// revisions.
	changes, digest uint64
}

func newDocumentTable() *documentTable {
	return &documentTable{rows: make(map[string]documentRow)}
}

func (t *documentTable) number(key string) uint64 {
	return t.rows[key].value.Number
}

func (t *documentTable) put(value driftplatform.Value, doc driftdocument.Document) {
	t.rows[value.Key] = documentRow{value: value, document: doc}
	t.changes++
}

// fill copies the documents into the tables of a view.
func (t *documentTable) fill(v *drifttable.View) {
	var (
		domains   []drifttable.Domain
		classes   []drifttable.Class
		services  []drifttable.Service
		upstreams []drifttable.Upstream
		revisions []drifttable.Revision
	)
	for key, row := range t.rows {
		revisions = append(revisions, drifttable.Revision{Name: key, Number: row.value.Number})
		switch d := row.document.(type) {
		case driftdocument.Domains:
			domains = append(domains, d.Rows()...)
		case driftdocument.Classes:
			classes = append(classes, d.Rows()...)
		case driftdocument.Upstreams:
			upstreams = append(upstreams, d.Rows()...)
		case driftdocument.Versions:
			services = append(services, d.Row())
		case driftdocument.Marks:
		}
	}
	v.Domains = drifttable.NewTable(domains...)
	v.Classes = drifttable.NewTable(classes...)
	v.Services = drifttable.NewTable(services...)
	v.Upstreams = drifttable.NewTable(upstreams...)
	v.Revisions = drifttable.NewTable(revisions...)
}

// marks returns the marks in force.
func (t *documentTable) marks() driftdocument.Marks {
	d, _ := t.rows[driftdocument.KeyMarks].document.(driftdocument.Marks)
	return d
}

// keys returns the keys to watch: the fixed ones and two for each service
// that a class names.
func (t *documentTable) keys() []string {
	keys := []string{
		driftdocument.KeyDomains, driftdocument.KeyClasses, driftdocument.KeyMarks,
	}
	d, _ := t.rows[driftdocument.KeyClasses].document.(driftdocument.Classes)
	for _, s := range d.Services() {
		keys = append(keys, driftdocument.KeyUpstreamsPrefix+s, driftdocument.KeyVersionsPrefix+s)
	}
	return keys
}

// watchKeys starts a watcher for each key that has none.
func (c *Control) watchKeys(ctx context.Context, group *errgroup.Group) {
	for _, key := range c.documents.keys() {
		if _, found := c.watched[key]; found {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		c.watched[key] = cancel
		group.Go(func() error {
			defer cancel()
			c.watch(ctx, key)
			return nil
		})
	}
}

// watch follows one key until ctx ends.
func (c *Control) watch(ctx context.Context, key string) {
	var held uint64
	for ctx.Err() == nil {
		switch r := c.watchOnce(ctx, key, held).(type) {
		case driftplatform.Found:
			held = max(held, r.Value.Number)
			c.tell(ctx, documentRead{value: r.Value})
		case driftplatform.Unchanged:
		case driftplatform.Absent:
			sleep(ctx, retryRead)
		case driftplatform.Unavailable:
			c.tell(ctx, documentMissed{key: key, err: r.Err})
			sleep(ctx, retryRead)
		}
	}
}

func (c *Control) watchOnce(ctx context.Context, key string, held uint64) driftplatform.ConfigResult {
	if held == 0 {
		return c.config.Read(ctx, key)
	}
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	return c.config.Watch(ctx, key, held)
}

// applyDocument puts a newer document in force and refuses an invalid one.
func (c *Control) applyDocument(value driftplatform.Value) {
	held := c.documents.number(value.Key)
	if value.Number <= held {
		return
	}
	doc, err := driftdocument.Parse(value.Key, value.Body)
	if err != nil {
		c.events.Record(driftevent.ConfigRefused, "", value.Key, err.Error())
		return
	}
	c.checker.Forward(value.Key, held, value.Number)
	c.documents.put(value, doc)
	c.events.Record(driftevent.ConfigInForce, "", value.Key, revisionText(value.Number))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func revisionText(number uint64) string {
	return "revision " + strconv.FormatUint(number, 10)
}

// Documents exchanges configuration documents with another VM.
func (c *Control) Documents(context.Context, *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "documents")
}

func (c *Control) answerHeld(*member, *pb.ProbeRequest, *pb.ProbeReply) {}

func (c *Control) noteHeld(*member, *pb.ProbeReply, time.Time) {}
