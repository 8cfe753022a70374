//go:build !linux

package daemon

import "net"

// takeBacklog returns no connections; it is implemented for Linux only.
func takeBacklog(net.Listener) ([]net.Conn, error) { return nil, nil }
