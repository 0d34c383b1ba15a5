package driftupstream

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReplyWasCut guards against taking a reply that ended early for an answer or
// a refusal, at whichever byte and in whichever way its connection ended.
func TestReplyWasCut(t *testing.T) {
	const body = `{"attempt":"a"}`
	for name, reply := range map[string]string{
		"length":              completeReply,
		"chunked":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n" + body[:8] + "\r\n7\r\n" + body[8:] + "\r\n0\r\n\r\n",
		"until the close":     "HTTP/1.1 200 OK\r\n\r\n" + body,
		"space before colon":  "HTTP/1.1 200 OK\r\nContent-Length : 15\r\n\r\n" + body,
		"informational first": "HTTP/1.1 103 Early\r\n\r\n" + completeReply,
		"refusal":             "HTTP/1.1 503 Full\r\nContent-Length: 15\r\n\r\n" + body,
		"leaving":             "HTTP/1.1 410 Gone\r\nContent-Length: 15\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(reply) {
				for _, reset := range []bool{false, true} {
					s := newServer(t, func(conn net.Conn) {
						_, _ = io.WriteString(conn, reply[:cut])
						if tcp, ok := conn.(*net.TCPConn); ok && reset {
							_ = tcp.SetLinger(0)
						}
						_ = conn.Close()
					})
					conn := dial(t, s.address)
					assertFailure(t, true, conn.Do(t.Context(), request()))
					assert.EqualValues(t, 1, s.runs.Load(), "reset %v after %q", reset, reply[:cut])
				}
			}
		})
	}
}
