package inputlimit

import "net"

// Listen returns a listener of a server that the process itself depends on. Its connections are
// accounted for, and those for which there is no room are closed.
func (l *Limiter) Listen(server string, inner net.Listener) net.Listener {
	if l == nil {
		return inner
	}
	return &listener{Listener: inner, limiter: l, server: server}
}

type listener struct {
	net.Listener
	limiter *Limiter
	server  string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if holder, ok := l.limiter.Open(l.server, true, tcp); ok {
			return NewConn(tcp, holder), nil
		}
		tcp.Close()
	}
}
