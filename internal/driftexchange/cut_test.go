package driftexchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ending is how an upstream ends its connection.
type ending string

const (
	endsByClose ending = "closed"
	endsByReset ending = "reset"
)

// exchangeOverSocket sends one request over TCP to an upstream that replies with
// the given bytes and ends the connection.
func exchangeOverSocket(t *testing.T, method, answer string, e ending) Result {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed below
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		far, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, _ = io.WriteString(far, answer)
		if tcp, ok := far.(*net.TCPConn); ok && e == endsByReset {
			_ = tcp.SetLinger(0)
		}
	}()
	conn, err := Dial(t.Context(), DialTCP, listener.Addr().String(), testHeaders)
	require.NoError(t, err)
	results := make(chan Result, 1)
	conn.Send(&Request{ID: "a", Method: method, Target: "/x", Host: "h"}, "i-1",
		time.Now().Add(20*time.Second), func(r Result) { results <- r })
	result := <-results
	conn.Close()
	<-conn.Closed()
	return result
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\n"

// TestReplyWasCut guards against taking a reply that ended early for complete, at
// whichever byte and in whichever way its connection ended.
func TestReplyWasCut(t *testing.T) {
	for name, answer := range map[string]string{
		"length":                  okHead + "Content-Length: 2\r\n\r\nok",
		"empty":                   okHead + "Content-Length: 0\r\n\r\n",
		"bare line feeds":         "HTTP/1.1 200 OK\nX-Id: a\nX-Proof: p\nContent-Length: 2\n\nok",
		"header on two lines":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p,\r\n q\r\nContent-Length: 2\r\n\r\nok",
		"chunked":                 okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n",
		"chunked, with a trailer": okHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
		"chunked, with a length":  okHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"informational first":     "HTTP/1.1 103 Early\r\nX-Proof: p\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok",
		"no content":              "HTTP/1.1 204 None\r\nX-Id: a\r\nX-Proof: p\r\n\r\n",
		"until the close":         okHead + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			assert.IsType(t, Done{}, exchangeOverSocket(t, http.MethodGet, answer, endsByClose), "the whole reply")
			for cut := range len(answer) {
				for _, e := range []ending{endsByClose, endsByReset} {
					result := exchangeOverSocket(t, http.MethodGet, answer[:cut], e)
					assert.IsType(t, Unknown{}, result, "%s after %q", e, answer[:cut])
				}
			}
		})
	}
	t.Run("body until the close", func(t *testing.T) {
		const body = "whole"
		for cut := range len(body) + 1 {
			result := exchangeOverSocket(t, http.MethodGet, okHead+"\r\n"+body[:cut], endsByClose)
			if assert.IsType(t, Done{}, result) {
				assert.Equal(t, body[:cut], string(result.(Done).Reply.Body)) //nolint:forcetypeassert // asserted above
			}
			result = exchangeOverSocket(t, http.MethodGet, okHead+"\r\n"+body[:cut], endsByReset)
			assert.IsType(t, Unknown{}, result, "reset after %q", body[:cut])
		}
	})
}

// TestReplyFraming checks replies whose framing is contradictory or malformed.
func TestReplyFraming(t *testing.T) {
	const body = "\r\nok"
	for _, c := range []struct {
		name, method, answer string
		want                 Result
		body                 string
	}{
		{"two equal lengths", http.MethodGet, okHead + "Content-Length: 2\r\nContent-Length: 2\r\n" + body, Done{}, "ok"},
		{"two different lengths", http.MethodGet, okHead + "Content-Length: 2\r\nContent-Length: 1\r\n" + body, Unknown{}, ""},
		{"lengths in a list", http.MethodGet, okHead + "Content-Length: 2, 1\r\n" + body, Unknown{}, ""},
		{"negative length", http.MethodGet, okHead + "Content-Length: -2\r\n" + body, Unknown{}, ""},
		{"signed length", http.MethodGet, okHead + "Content-Length: +2\r\n" + body, Unknown{}, ""},
		{"hexadecimal length", http.MethodGet, okHead + "Content-Length: 0x2\r\n" + body, Unknown{}, ""},
		{"empty length", http.MethodGet, okHead + "Content-Length: \r\n" + body, Unknown{}, ""},
		{"overlong length", http.MethodGet, okHead + "Content-Length: " + strings.Repeat("9", 30) + "\r\n" + body, Unknown{}, ""},
		{"unknown coding", http.MethodGet, okHead + "Transfer-Encoding: gzip, chunked\r\n" + body, Unknown{}, ""},
		{"coding twice", http.MethodGet, okHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Unknown{}, ""},
		{"coding in an old version", http.MethodGet, strings.Replace(okHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Unknown{}, ""},
		{"length in an old version", http.MethodGet, strings.Replace(okHead, "1.1", "1.0", 1) + "Content-Length: 2\r\n" + body, Done{}, "ok"},
		{"until the close in an old version", http.MethodGet, strings.Replace(okHead, "1.1", "1.0", 1) + body, Done{}, "ok"},
		{"body that looks like a header", http.MethodGet, strings.Replace(okHead, "1.1", "1.0", 1) + "\r\nTransfer-Encoding: x\r\n", Done{}, "Transfer-Encoding: x\r\n"},
		{"malformed chunk", http.MethodGet, okHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", Unknown{}, ""},
		{"chunk longer than its size", http.MethodGet, okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n", Unknown{}, ""},
		{"signature in a trailer", http.MethodGet, strings.Replace(okHead, "X-Proof: p\r\n", "Trailer: X-Proof\r\n", 1) +
			"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Proof: p\r\n\r\n", Unknown{}, ""},
		{"reply to HEAD", http.MethodHead, okHead + "Content-Length: 2\r\n\r\n", Done{}, ""},
		{"not modified, with a length", http.MethodGet, strings.Replace(okHead, "200", "304", 1) + "Content-Length: 2\r\n\r\n", Done{}, ""},
		{"another protocol", http.MethodGet, "HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\nx", Unknown{}, ""},
		{"space before the colon", http.MethodGet, okHead + "Content-Length : 2\r\n" + body, Unknown{}, ""},
		{"space before the colon, cut", http.MethodGet, okHead + "Content-Length : 4\r\n" + body, Unknown{}, ""},
		{"space before the colon of a coding", http.MethodGet, okHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Unknown{}, ""},
		{"line that is no header", http.MethodGet, okHead + "Content-Le\r\n" + body, Unknown{}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			result := exchangeOverSocket(t, c.method, c.answer, endsByClose)
			require.IsType(t, c.want, result, "%+v", result)
			if done, ok := result.(Done); ok {
				assert.Equal(t, c.body, string(done.Reply.Body))
			}
		})
	}
}
