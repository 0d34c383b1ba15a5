package driftupstream

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// TestRefusalOfAnotherRequest guards against taking a late refusal of an earlier
// request for the promise that this one, which the upstream runs, has not run.
func TestRefusalOfAnotherRequest(t *testing.T) {
	for _, status := range []int{409, 410, 429, 503} {
		for _, c := range []struct {
			attempt string
			refused bool
		}{{"earlier", false}, {"a", true}, {"", true}} {
			t.Run(fmt.Sprintf("%d for %q", status, c.attempt), func(t *testing.T) {
				s := newServer(t, func(conn net.Conn) {
					body := fmt.Sprintf(`{"attempt":%q}`, c.attempt)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Refused\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					_, _ = io.WriteString(conn, completeReply)
				})
				reply := dial(t, s.address).Do(t.Context(), request())
				if c.refused {
					want := Reply(Refusal{})
					if status == 410 {
						want = Departure{}
					}
					assert.IsType(t, want, reply)
					return
				}
				assertFailure(t, true, reply)
				require.IsType(t, Failure{}, reply)
				assert.Equal(t, driftshard.ReasonCrossed, reply.(Failure).Reason) //nolint:forcetypeassert // asserted above
			})
		}
	}
}
