package readahead

import (
	"net"

	"github.com/basilway/basilway/internal/inputlimit"
)

// restConn is the rest of a client connection, which the http.Server reads itself. It begins
// with bytes that were read before.
type restConn struct {
	*inputlimit.Conn
	// raw is the connection as it was accepted.
	raw    net.Conn
	config *Config
}

// Write implements net.Conn.
func (c *restConn) Write(p []byte) (int, error) { return c.config.writePieces(c.Conn, p, nil) }
