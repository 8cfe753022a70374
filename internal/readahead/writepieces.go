package readahead

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/basilway/basilway/internal/inputlimit"
)

// writePieces writes p in pieces of at most maxWritePiece bytes, each within the write timeout. holder is
// told of each piece; nil if c tells it.
func (config *Config) writePieces(c net.Conn, p []byte, holder *inputlimit.Holder) (n int, err error) {
	for {
		piece := p[n:min(n+maxWritePiece, len(p))]
		if config.WriteTimeout > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(config.WriteTimeout)) // fails only on a closed connection
		}
		written, err := c.Write(piece)
		n += written
		holder.Moved()
		if errors.Is(err, os.ErrDeadlineExceeded) && config.WriteTimedOut != nil {
			config.WriteTimedOut()
		}
		if err != nil || n == len(p) {
			return n, err
		}
	}
}
