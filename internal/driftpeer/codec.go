package driftpeer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftlisten"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Sizes and times of a connection for shard requests.
const (
	// maxFrameBytes is the largest message size that is accepted.
	maxFrameBytes = 8 << 20
	// bufferBytes is the size of each of the two buffers of a connection.
	bufferBytes = 4 << 10
	// frameTime bounds how long a message may take to arrive.
	frameTime = 10 * time.Second
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 2 * time.Second
)

// errNotProtobuf is the error for a body that is not a protobuf message.
var errNotProtobuf = errors.New("body is not a protobuf message")

// codec carries net/rpc calls as length-delimited protobuf messages: a
// CallHeader, then the body. It implements rpc.ClientCodec and
// rpc.ServerCodec.
type codec struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	header pb.CallHeader
	// pendingWrites counts the calls that are about to be written. The last one
	// flushes the buffer for all of them.
	pendingWrites atomic.Int64
	// lastReceived is the Unix time in nanoseconds at which the last message arrived.
	lastReceived atomic.Int64
	// onReadError, if set, is called when reading from the connection fails.
	onReadError func()
}

func newCodec(conn net.Conn, reader *bufio.Reader) *codec {
	c := &codec{conn: conn, reader: reader, writer: bufio.NewWriterSize(conn, bufferBytes)}
	c.lastReceived.Store(time.Now().UnixNano())
	return c
}

// WriteRequest implements rpc.ClientCodec. The caller has incremented
// pendingWrites.
func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(&pb.CallHeader{Sequence: r.Seq, Method: r.ServiceMethod}, body)
	if c.pendingWrites.Add(-1) > 0 && err == nil {
		return nil
	}
	return errors.Join(err, c.flush())
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readHeader(); err != nil {
		return err
	}
	r.Seq, r.ServiceMethod, r.Error = c.header.GetSequence(), c.header.GetMethod(), c.header.GetError()
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error {
	return c.readBody(body)
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHeader(); err != nil {
		return err
	}
	r.Seq, r.ServiceMethod = c.header.GetSequence(), c.header.GetMethod()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	return c.readBody(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		// For a failed call net/rpc passes a placeholder that is not a protobuf
		// message.
		body = &pb.CancelReply{}
	}
	header := &pb.CallHeader{Sequence: r.Seq, Method: r.ServiceMethod, Error: r.Error}
	return errors.Join(c.write(header, body), c.flush())
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error {
	return c.conn.Close()
}

func (c *codec) write(header *pb.CallHeader, body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		return errNotProtobuf
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(c.writer, header); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(c.writer, message)
	return err
}

// flush writes the buffered messages. A failure closes the connection, so that
// no call waits for a reply that cannot arrive.
func (c *codec) flush() error {
	err := c.writer.Flush()
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *codec) readHeader() error {
	c.header.Reset()
	err := c.readMessage(&c.header)
	if err != nil && c.onReadError != nil {
		c.onReadError()
	}
	c.lastReceived.Store(time.Now().UnixNano())
	return err
}

// readBody reads the message that follows a header into body. If body is nil,
// it discards the message.
func (c *codec) readBody(body any) error {
	if body == nil {
		return c.readMessage(&pb.CancelReply{})
	}
	message, ok := body.(proto.Message)
	if !ok {
		return errNotProtobuf
	}
	return c.readMessage(message)
}

// readMessage reads one message. One that does not arrive at once has a bound in time,
// and the memory that it takes is counted.
func (c *codec) readMessage(message proto.Message) error {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return err
	}
	if length > maxFrameBytes {
		return &protodelim.SizeTooLargeError{Size: length, MaxSize: maxFrameBytes}
	}
	if length > uint64(c.reader.Buffered()) {
		_ = c.conn.SetReadDeadline(time.Now().Add(frameTime))
		defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	}
	if length <= uint64(c.reader.Size()) {
		data, err := c.reader.Peek(int(length))
		if err != nil {
			return unexpected(err)
		}
		err = proto.Unmarshal(data, message)
		_, _ = c.reader.Discard(int(length))
		return err
	}
	data, done, err := driftlisten.ReadMessage(c.conn, c.reader, int64(length))
	defer done()
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, message)
}

// unexpected returns the error of a message that is cut off.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
