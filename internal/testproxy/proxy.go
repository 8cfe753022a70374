// Package testproxy provides a TCP proxy for tests whose connections can go silent.
package testproxy

import (
	"net"
	"sync"
	"testing"
)

// Proxy forwards connections to a target. Those that are open when it goes silent stay open and
// deliver nothing more; later ones work.
type Proxy struct {
	listener net.Listener
	target   string
	done     chan struct{}

	mu     sync.Mutex
	silent chan struct{} // closed when the connections opened before go silent
}

// New starts a proxy on a loopback port. It ends with the test.
func New(t testing.TB, target string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{listener: l, target: target, silent: make(chan struct{}), done: make(chan struct{})}
	go p.serve()
	t.Cleanup(func() {
		close(p.done)
		l.Close()
	})
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// GoSilent silences the open connections.
func (p *Proxy) GoSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		go p.forward(server, client, silent)
		go p.forward(client, server, silent)
	}
}

const bufferBytes = 4096

// forward copies bytes until a connection ends or goes silent.
func (p *Proxy) forward(to, from net.Conn, silent <-chan struct{}) {
	defer to.Close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			<-p.done
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
