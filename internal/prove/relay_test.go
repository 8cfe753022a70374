package prove

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// platformName stands for the platform in a network.
	platformName = "platform"
	// peerAddressHeader names the daemon that dials; see package peer.
	peerAddressHeader = "Basilway-Peer-Address"
	relayBytes        = 64 << 10
)

// direction is one way between two daemons, or between a daemon and the platform.
type direction struct{ from, to string }

// network holds the directions that are cut. What is sent over a cut direction stays in
// the relay and arrives when the cut ends, as on a network that loses packets for a time.
type network struct {
	mu      sync.Mutex
	cuts    map[direction]bool
	changed chan struct{}
	// names maps the advertised address of a daemon to its name.
	names map[string]string
}

func newNetwork() *network {
	return &network{cuts: map[direction]bool{}, changed: make(chan struct{}), names: map[string]string{}}
}

func (n *network) set(cut bool, ways ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, way := range ways {
		if cut {
			n.cuts[way] = true
		} else {
			delete(n.cuts, way)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait blocks while a direction is cut. It returns false when done is closed.
func (n *network) wait(way direction, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, changed := n.cuts[way], n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (n *network) name(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[address]
}

// relay passes connections to a target. Those to the platform come from one daemon;
// those to a daemon name their sender in the handshake.
type relay struct {
	network  *network
	listener net.Listener
	target   string
	from, to string
	done     chan struct{}
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newRelay(n *network, target, from, to string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{network: n, listener: listener, target: target, from: from, to: to, done: make(chan struct{}), open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	close(r.done)
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
}

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = true
}

func (r *relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) serve(in net.Conn) {
	r.keep(in)
	defer r.drop(in)
	reader := bufio.NewReaderSize(in, relayBytes)
	from := r.from
	var first *http.Request
	if from == "" {
		var err error
		if first, err = http.ReadRequest(reader); err != nil {
			return
		}
		from = r.network.name(first.Header.Get(peerAddressHeader))
	}
	there, back := direction{from, r.to}, direction{r.to, from}
	if !r.network.wait(there, r.done) {
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	r.keep(out)
	defer r.drop(out)
	if first != nil && first.Write(out) != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go func() { r.pump(out, reader, there); ended <- struct{}{} }()
	go func() { r.pump(in, out, back); ended <- struct{}{} }()
	<-ended
}

// pump copies until an end closes. The end of a connection passes a cut like data does.
func (r *relay) pump(to io.Writer, from io.Reader, way direction) {
	buffer := make([]byte, relayBytes)
	for {
		n, err := from.Read(buffer)
		if !r.network.wait(way, r.done) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
