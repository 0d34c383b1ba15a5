package driftexchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// oldProtocol begins the replies of HTTP/1.0.
const oldProtocol = "HTTP/1.0"

// readHead reads the head of a reply. It returns ErrMalformed for replies that
// net/http accepts although the end of their body is unknown.
func readHead(reader *bufio.Reader, request *http.Request) (response *http.Response, err error) {
	if start, err := reader.Peek(len(oldProtocol)); err == nil && string(start) == oldProtocol {
		return readOldHead(reader, request)
	}
	response, err = http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if !validFieldNames(response.Header) {
		return nil, ErrMalformed
	}
	return response, nil
}

// headRecorder records what is read until ended is set.
type headRecorder struct {
	reader io.Reader
	seen   []byte
	ended  bool
}

// Read implements io.Reader.
func (r *headRecorder) Read(buffer []byte) (n int, err error) {
	n, err = r.reader.Read(buffer)
	if !r.ended {
		r.seen = append(r.seen, buffer[:n]...)
	}
	return n, err
}

// readOldHead reads the head of a reply in HTTP/1.0, after which the connection
// is not reused. A coding is malformed there; net/http drops its header and takes
// the coded body for the body.
func readOldHead(reader *bufio.Reader, request *http.Request) (response *http.Response, err error) {
	recorder := &headRecorder{reader: reader}
	response, err = http.ReadResponse(bufio.NewReader(recorder), request)
	if err != nil {
		return nil, err
	}
	recorder.ended = true
	head := textproto.NewReader(bufio.NewReader(bytes.NewReader(recorder.seen)))
	if _, err := head.ReadLine(); err != nil {
		return nil, err
	}
	header, err := head.ReadMIMEHeader()
	switch {
	case err != nil:
		return nil, err
	case header.Get("Transfer-Encoding") != "", !validFieldNames(response.Header):
		return nil, ErrMalformed
	default:
		return response, nil
	}
}

// validFieldNames reports whether no name of a header has a space before its
// colon. net/http keeps such a name as it is, and so misses the length or the
// coding of the body.
func validFieldNames(header http.Header) bool {
	for name := range header {
		if strings.ContainsAny(name, " \t") {
			return false
		}
	}
	return true
}
