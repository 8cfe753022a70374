package readahead

import (
	"errors"
	"syscall"
)

// errTooLarge ends the reading of a request that is larger than maxBufferedRequest.
var errTooLarge = errors.New("request is too large to read ahead")

// errNoRoom ends the reading of a request for which there is no room. If its header has been read, the
// http.Server gets it, whose handler refuses it; else the connection is closed.
var errNoRoom = errors.New("no room for the request")

// isTemporary reports whether accepting a connection may work a moment later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}
