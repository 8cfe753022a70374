package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
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
	// idleSince and idleFor bound when it may be used again.
	idleSince time.Time
	idleFor   time.Duration
	// writing is closed when a body that is written beside the answer is written.
	writing chan error
}

// clean reports whether nothing arrived on an idle connection: neither bytes, which belong
// to no request, nor its end.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes the request. Bodies are written beside the reading of the answer, because a
// server may answer before it has read one.
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
	if e.Stream == nil && len(e.Body) <= maxInlineBody {
		head.Write(e.Body)
		_, err := c.Write(head.Bytes())
		return err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	c.writing = make(chan error, 1)
	go func() { c.writing <- c.writeBody(e, chunked) }()
	return nil
}

// maxInlineBody is the size in bytes up to which a body is written at once with the
// header; it fits the send buffer of a fresh connection.
const maxInlineBody = 2048

func (c *conn) writeBody(e Exchange, chunked bool) error {
	out := io.Writer(c.Conn)
	var chunks io.WriteCloser
	if chunked {
		chunks = &chunkWriter{out: c.Conn}
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

// written reports whether the whole request was written.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false
	}
}

// keepAlive reads how long the server keeps the idle connection; limit if it does not say.
func keepAlive(h http.Header, limit time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(limit, time.Duration(seconds)*time.Second*keepAliveShare/100)
		}
	}
	return limit
}

// keepAliveShare is the percentage of the server's idle timeout after which a connection
// is not used again, so that a request does not cross the server's close.
const keepAliveShare = 70
