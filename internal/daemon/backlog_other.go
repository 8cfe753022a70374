//go:build !linux

package daemon

import "net"

// takeBacklog takes nothing on this system.
func takeBacklog(net.Listener) ([]net.Conn, error) { return nil, nil }
