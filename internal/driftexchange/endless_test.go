package driftexchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEndlessReplies has an upstream that sends bytes until the caller closes
// the connection. It must be cut off at a bounded size, before the deadline, and
// nothing may be read to the end.
func TestEndlessReplies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\n"
	const headBound = maxReplyHead + 2*readBufferSize
	const bodyBound = headBound + maxReplyBody + maxFraming
	kilobyte := strings.Repeat("x", 1024)
	for _, c := range []struct {
		name   string
		start  string
		repeat string
		bound  int
	}{
		{"head", head, "X-Other: " + kilobyte + "\r\n", headBound},
		{"header line", head + "X-Other: ", kilobyte, headBound},
		{"status line", "HTTP/1.1 200 ", kilobyte, headBound},
		{"informational replies", "", "HTTP/1.1 103 Early\r\n\r\n", headBound},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", bodyBound},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n400;", kilobyte, bodyBound},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Other: " + kilobyte + "\r\n", bodyBound},
		{"body until close", head + "\r\n", kilobyte, bodyBound},
		{"body of a huge length", head + "Content-Length: 99999999999\r\n\r\n", kilobyte, bodyBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				conn, err := Dial(t.Context(), func(context.Context, string) (net.Conn, error) { return near, nil }, "a", testHeaders)
				require.NoError(t, err)
				written := make(chan int, 1)
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(far))
					total, err := io.WriteString(far, c.start)
					for err == nil {
						var n int
						n, err = io.WriteString(far, c.repeat)
						total += n
					}
					written <- total
				}()
				results := make(chan Result, 1)
				start := time.Now()
				conn.Send(&Request{ID: "a", Method: http.MethodGet, Target: "/x", Host: "h"}, "i-1",
					start.Add(time.Second), func(r Result) { results <- r })
				result := <-results
				assert.IsType(t, Unknown{}, result)
				assert.LessOrEqual(t, <-written, c.bound)
				assert.Zero(t, time.Since(start), "cut off before the deadline")
				<-conn.Closed()
			})
		})
	}
}

// TestLargestReply checks that an honest reply of the largest size passes.
func TestLargestReply(t *testing.T) {
	body := strings.Repeat("x", maxReplyBody)
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\nContent-Length: 4194304\r\n\r\n" + body,
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("400\r\n"+body[:1024]+"\r\n", maxReplyBody/1024) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result, usable := exchange(t, answer, false)
				done, ok := result.(Done)
				require.True(t, ok)
				assert.Len(t, done.Reply.Body, maxReplyBody)
				assert.True(t, usable)
			})
		})
	}
}
