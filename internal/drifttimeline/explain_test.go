package drifttimeline

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const logText = `not a log line
  1.0 vm-1 {"event":141,"name":"platform lost","vm":"vm-1","boot":1,"sequence":1,"request":"","subject":"watch","msg":"timeout","time":"2026-01-02T03:04:04Z"}
{"event":103,"name":"vm health changed","vm":"vm-2","boot":1,"sequence":7,"request":"","subject":"vm-3","msg":"dead","time":"2026-01-02T03:04:04Z"}
{"event":141,"name":"platform lost","vm":"vm-1","boot":1,"sequence":0,"request":"","subject":"list","msg":"long ago","time":"2026-01-02T03:03:04Z"}
{"event":221,"name":"request failed","vm":"vm-1","boot":1,"sequence":2,"request":"q1","subject":"r","msg":"unknown status 502 in 0 of 1; s: i-1 lost: EOF after 4 ms","time":"2026-01-02T03:04:05Z"}
{"event":220,"name":"request served","vm":"vm-2","boot":1,"sequence":9,"request":"q2","subject":"r","msg":"served status 200","time":"2026-01-02T03:04:05Z"}
`

func TestExplain(t *testing.T) {
	e, err := Explain(strings.NewReader(logText), "q1")
	require.NoError(t, err)
	require.Len(t, e.Events, 1)
	require.Len(t, e.Context, 1)
	assert.Equal(t, "timeout", e.Context[0].Detail)
	assert.Contains(t, e.Cause, "may have run")
	var b strings.Builder
	require.NoError(t, e.Write(&b))
	assert.Contains(t, b.String(), "i-1 lost: EOF after 4 ms")

	_, err = Explain(strings.NewReader(logText), "q9")
	assert.ErrorIs(t, err, errors.NotFound)
}
