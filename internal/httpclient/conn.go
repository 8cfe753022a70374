package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit is what reader reads from. It bounds the bytes before a response's body.
	limit *io.LimitedReader
	// ids are those of the requests that were sent on it.
	ids sentIDs
	// A connection that has been idle since idleSince may be reused for idleFor.
	idleSince time.Time
	idleFor   time.Duration
	// writeResult receives the result of a body that is written while the response is read;
	// nil if there is no such body.
	writeResult chan error
	// count is the Count of the current exchange.
	count func(written, read int)
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.count != nil && n > 0 {
		c.count(n, 0)
	}
	return n, err
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.count != nil && n > 0 {
		c.count(0, n)
	}
	return n, err
}

// abort closes the connection without sending what the system has not sent yet.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// clean reports whether nothing has arrived on an idle connection: neither bytes, which
// belong to no request, nor the end of the stream.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// readFinalResponse reads a response up to its body and skips interim ones.
func (c *conn) readFinalResponse(method string) (*http.Response, error) {
	c.limit.N = maxResponseHeadBytes
	defer func() { c.limit.N = math.MaxInt64 }()
	for range maxInterimResponses + 1 {
		first, err := c.reader.Peek(1)
		if err != nil {
			return nil, c.readError(err)
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) || first == nil {
				return nil, err
			}
			return nil, &unexpectedBytesError{c.readError(err)}
		}
		if resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
			// net/http takes it as a response, but can't pass it on to a client. No request asks for another protocol.
			return nil, &unexpectedBytesError{fmt.Errorf("status %03d", resp.StatusCode)}
		}
		if err := checkNames(resp.Header); err != nil {
			return nil, &unexpectedBytesError{err}
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, &unexpectedBytesError{&BoundError{boundInterim, maxInterimResponses}}
}

// readError returns the cause of a failed read of a head.
func (c *conn) readError(err error) error {
	if c.limit.N > 0 {
		return err
	}
	return &BoundError{boundHead, maxResponseHeadBytes}
}

// send writes the request. Large and streamed bodies are written while the response is
// read, because a server may respond before it has read the body.
func (c *conn) send(e Exchange) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.Method, e.URI, e.Host)
	chunked := e.Stream != nil && e.StreamLength < 0
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case e.Stream != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(int64(len(e.Body))+e.StreamLength, 10) + "\r\n")
	case len(e.Body) > 0 || e.Method == http.MethodPost || e.Method == http.MethodPut || e.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.Itoa(len(e.Body)) + "\r\n")
	}
	if err := e.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if e.Stream == nil && len(e.Body) <= maxInlineBodyBytes {
		head.Write(e.Body)
		_, err := c.Write(head.Bytes())
		return err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	c.writeResult = make(chan error, 1)
	go func() { c.writeResult <- c.writeBody(e, chunked) }()
	return nil
}

// maxInlineBodyBytes is the size up to which a body is written together with the header; it
// fits into the send buffer of a new connection.
const maxInlineBodyBytes = 2048

func (c *conn) writeBody(e Exchange, chunked bool) error {
	out := io.Writer(c)
	var chunks io.WriteCloser
	if chunked {
		chunks = &chunkWriter{out: c}
		out = chunks
	}
	if _, err := out.Write(e.Body); err != nil {
		return err
	}
	if e.Stream != nil {
		if _, err := io.Copy(out, e.Stream); err != nil {
			c.Close()
			return err
		}
	}
	if chunks != nil {
		return chunks.Close()
	}
	return nil
}

// written reports whether the whole request has been written.
func (c *conn) written() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult = nil
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns how long an idle connection may be reused according to the
// server's Keep-Alive header; limit if the header gives no timeout.
func keepAliveTimeout(h http.Header, limit time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(limit, time.Duration(seconds)*time.Second*keepAlivePercent/100)
		}
	}
	return limit
}

// keepAlivePercent is the percentage of the server's idle timeout after which a connection
// is not used again, so that a request does not race with the server closing it.
const keepAlivePercent = 70
