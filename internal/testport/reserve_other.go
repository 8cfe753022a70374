//go:build !linux

package testport

import "net"

// reserve only looks for a free port: another socket may take it before the server listens.
func reserve() (address string, release func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return l.Addr().String(), func() {}, l.Close()
}
