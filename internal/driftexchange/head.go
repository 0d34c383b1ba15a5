package driftexchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/juju/errors"
)

// oldProtocol begins the replies of HTTP/1.0.
const oldProtocol = "HTTP/1.0"

// readHead reads the head of a reply. It returns ErrMalformed for replies that
// net/http accepts although the end of their body is unknown.
func readHead(reader *bufio.Reader, request *http.Request) (response *http.Response, err error) {
	if err := checkStatusLine(reader); err != nil {
		return nil, err
	}
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

// statusLine is how each status line of HTTP/1 begins. A "v" stands for a minor version,
// a "c" for the class of a status and a "d" for another digit of it.
const statusLine = "HTTP/1.v cdd"

// checkStatusLine returns ErrMalformed as soon as what has arrived cannot begin the
// status line of a reply. net/http takes any three bytes that are a number, reads on
// after those below 200, and passes on those above 599. A reply that switches protocols
// is none either, since no request asks for it.
func checkStatusLine(reader *bufio.Reader) error {
	for seen := 0; seen <= len(statusLine); {
		start, err := reader.Peek(max(seen+1, min(reader.Buffered(), len(statusLine)+1)))
		if err != nil {
			return err
		}
		for ; seen < len(start); seen++ {
			if !fitsStatusLine(seen, start[seen]) {
				return ErrMalformed
			}
		}
	}
	start, err := reader.Peek(len(statusLine))
	if err != nil {
		return err
	}
	if strings.HasSuffix(string(start), "101") {
		return ErrMalformed
	}
	return nil
}

// fitsStatusLine reports whether a byte may stand at a place of a status line.
func fitsStatusLine(place int, b byte) bool {
	if place == len(statusLine) {
		return b == ' ' || b == '\r' || b == '\n'
	}
	switch statusLine[place] {
	case 'v':
		return b == '0' || b == '1'
	case 'c':
		return b >= '1' && b <= '5'
	case 'd':
		return b >= '0' && b <= '9'
	default:
		return b == statusLine[place]
	}
}

// CheckFinal returns ErrMalformed if a response that net/http has read has no final
// status of HTTP/1. It reads nothing.
func CheckFinal(response *http.Response) error {
	if response.ProtoMajor != 1 || response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return errors.Annotatef(ErrMalformed, "status line %.40q", response.Proto+" "+response.Status)
	}
	return nil
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

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
