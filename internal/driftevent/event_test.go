package driftevent

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// documentedEvent is a table row of docs/EVENTS.md.
type documentedEvent struct {
	code           Code
	name, severity string
	columns        int
}

func readDocumentedEvents(t *testing.T) (rows []documentedEvent) {
	t.Helper()
	body, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	for line := range strings.Lines(string(body)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		number, err := strconv.Atoi(strings.TrimSpace(cells[0]))
		if err != nil {
			continue
		}
		require.Greater(t, len(cells), 2, line)
		rows = append(rows, documentedEvent{Code(number), cells[1], cells[2], len(cells)})
	}
	return rows
}

// TestCatalogue checks that the catalogue and docs/EVENTS.md list the same
// events, with the same names and severities.
func TestCatalogue(t *testing.T) {
	names := map[severity]string{
		severityTrace: "trace", severityInfo: "info", severityWarning: "warning", severityError: "error",
	}
	var codes []Code
	for _, d := range readDocumentedEvents(t) {
		t.Run(d.name, func(t *testing.T) {
			assert.Equal(t, d.code.Name(), d.name)
			assert.Equal(t, names[d.code.severity()], d.severity)
			assert.Equal(t, 5, d.columns)
		})
		codes = append(codes, d.code)
	}
	assert.Equal(t, Codes(), codes)
}

func TestLog(t *testing.T) {
	l := NewLog("vm-1", 1, WithSize(3))
	for range 5 {
		l.Record(QueryStarted, "r", "fire", "")
	}
	events := l.Events()
	require.Len(t, events, 3)
	for i, e := range events {
		assert.Equal(t, uint64(i+2), e.Sequence)
	}
	assert.Equal(t, uint64(5), l.Count(QueryStarted))
}
