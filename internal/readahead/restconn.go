package readahead

import "net"

// restConn is the rest of a client connection, which the http.Server reads itself. It begins
// with bytes that were read before.
type restConn struct {
	*net.TCPConn
	// raw is the connection as it was accepted.
	raw    net.Conn
	unread []byte
	config *Config
}

// Read implements net.Conn.
func (c *restConn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.TCPConn.Read(p)
}

// Write implements net.Conn.
func (c *restConn) Write(p []byte) (int, error) { return c.config.writePieces(c.TCPConn, p) }
