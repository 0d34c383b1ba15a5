package driftcontrol

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// documentRow is a document in force and the value that it was parsed from.
type documentRow struct {
	value    driftplatform.Value
	document driftdocument.Document
}

// documentTable holds the documents in force by their keys.
type documentTable struct {
	rows map[string]documentRow
	// refused is the highest invalid revision of each key.
	refused map[string]uint64
	// changes counts the documents put in force, digest identifies the set of
	// their revisions.
	changes, digest uint64
}

func newDocumentTable() *documentTable {
	return &documentTable{rows: make(map[string]documentRow), refused: make(map[string]uint64)}
}

func (t *documentTable) revisionNumber(key string) uint64 {
	return t.rows[key].value.Revision
}

// highestSeen returns the highest revision that was read, in force or refused.
func (t *documentTable) highestSeen(key string) uint64 {
	return max(t.revisionNumber(key), t.refused[key])
}

// lacks reports whether a revision in force at another VM is newer than the
// one in force here and was not refused here.
func (t *documentTable) lacks(key string, number uint64) bool {
	return number > t.revisionNumber(key) && number != t.refused[key]
}

func (t *documentTable) put(value driftplatform.Value, doc driftdocument.Document) {
	t.rows[value.Key] = documentRow{value: value, document: doc}
	t.changes++
	d := xxhash.New()
	for _, r := range t.revisions() {
		_, _ = d.WriteString(r.GetKey())
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, r.GetNumber()))
	}
	t.digest = d.Sum64()
}

// revisions returns the revisions in force in the order of their keys.
func (t *documentTable) revisions() []*pb.Revision {
	revisions := make([]*pb.Revision, 0, len(t.rows))
	for _, key := range sortedKeys(t.rows) {
		revisions = append(revisions, &pb.Revision{Key: key, Number: t.revisionNumber(key)})
	}
	return revisions
}

func sortedKeys[V any](rows map[string]V) []string {
	keys := make([]string, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// fillView copies the documents into the tables of a view.
func (t *documentTable) fillView(v *drifttable.View) {
	var (
		domains   []drifttable.Domain
		classes   []drifttable.Class
		services  []drifttable.Service
		upstreams []drifttable.Upstream
		revisions []drifttable.Revision
	)
	for key, row := range t.rows {
		revisions = append(revisions, drifttable.Revision{Name: key, Number: row.value.Revision})
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

// keys returns the configuration keys to read: the fixed ones and two for each
// service that a class names.
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

// parsedDocument is a value with its parsed document, or the parse error.
type parsedDocument struct {
	value    driftplatform.Value
	document driftdocument.Document
	err      error
}

// parseDocument runs outside the control goroutine, because parsing a large
// document would delay it.
func parseDocument(value driftplatform.Value) parsedDocument {
	document, err := driftdocument.Parse(value.Key, value.Body)
	return parsedDocument{value: value, document: document, err: err}
}

// applyDocument puts a newer document in force and refuses an invalid one. It
// reports whether the document is in force now and was not before.
func (c *Control) applyDocument(p parsedDocument) bool {
	value := p.value
	held := c.documents.revisionNumber(value.Key)
	if value.Revision <= held {
		return false
	}
	if p.err != nil {
		if value.Revision <= c.documents.refused[value.Key] {
			return false
		}
		c.documents.refused[value.Key] = value.Revision
		c.events.Record(driftevent.ConfigRefused, "", value.Key, p.err.Error())
		return false
	}
	c.checker.MonotonicRevision(value.Key, held, value.Revision)
	c.documents.put(value, p.document)
	c.events.Record(driftevent.ConfigInForce, "", value.Key, revisionText(value.Revision))
	return true
}

// recordConfigContact records when the configuration service answered this VM or
// another one.
func (c *Control) recordConfigContact(at time.Time) {
	if !at.After(c.lastConfigContact) {
		return
	}
	if c.serviceUnavailable {
		c.serviceUnavailable = false
		c.events.Record(driftevent.ConfigRecovered, "", c.self.Name, "")
	}
	c.lastConfigContact = at
}

// recordConfigUnavailable records that the configuration service has not
// answered this VM.
func (c *Control) recordConfigUnavailable(m configUnavailable) {
	if !c.serviceUnavailable {
		c.serviceUnavailable = true
		c.events.Record(driftevent.ConfigUnavailable, "", m.key, m.err.Error())
	}
}

func revisionText(number uint64) string {
	return "revision " + strconv.FormatUint(number, 10)
}
