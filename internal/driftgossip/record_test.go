package driftgossip

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftstate"
)

// TestOddRecordHeldUpOtherVMs guards against a record of any bytes that another VM
// cannot be told, so that it misses all later changes.
func TestOddRecordHeldUpOtherVMs(t *testing.T) {
	for name, odd := range map[string]driftstate.Item{
		"no value":       {Key: "a"},
		"no text":        {Key: "a", Value: []byte("\xff\x00\xfe")},
		"deep":           {Key: "a", Value: []byte(strings.Repeat("[", 100_000))},
		"large":          {Key: "a", Value: make([]byte, 1<<20)},
		"no key":         {Value: []byte("x")},
		"key of no text": {Key: "a\xff", Value: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			odd.Revision = driftstate.Revision{Era: 1, Number: 4}
			at := driftstate.Revision{Era: 1, Number: 5}
			replica := driftstate.NewReplica()
			replica.Apply(driftstate.Changes{
				Full: true, Revision: at, Items: []driftstate.Item{odd, {Key: "b", Value: []byte("v"), Revision: at}},
			}, time.Now())
			server := httptest.NewServer(NewHandler(replica))
			defer server.Close()
			_, port, err := net.SplitHostPort(server.Listener.Addr().String())
			require.NoError(t, err)
			c, err := NewTwirpClient(port).Changes(t.Context(), "127.0.0.1:1", driftstate.Revision{})
			require.NoError(t, err)
			values := make(map[string]string)
			for _, item := range c.Items {
				values[item.Key] = string(item.Value)
			}
			assert.Equal(t, "v", values["b"])
			assert.Equal(t, at, c.Revision)
		})
	}
}
