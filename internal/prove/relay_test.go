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
	// platformName is the name of the platform in directions.
	platformName = "platform"
	// peerAddressHeader is the header in which a dialing daemon sends its address; see package
	// peer.
	peerAddressHeader = "Basilway-Peer-Address"
	relayBufferBytes  = 64 << 10
)

// direction is one direction of the traffic between two daemons, or between a daemon and the
// platform.
type direction struct{ from, to string }

// network holds the directions that are cut. Data sent in a cut direction stays in the relay
// and arrives when the cut ends, as when packets are lost for a time and then retransmitted.
type network struct {
	mu      sync.Mutex
	cuts    map[direction]bool
	changed chan struct{}
	// names maps the advertised address of each daemon to its name.
	names map[string]string
}

func newNetwork() *network {
	return &network{cuts: map[direction]bool{}, changed: make(chan struct{}), names: map[string]string{}}
}

func (n *network) setCut(cut bool, directions ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range directions {
		if cut {
			n.cuts[d] = true
		} else {
			delete(n.cuts, d)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitConnected blocks while a direction is cut. It returns false if done is closed
// meanwhile.
func (n *network) waitConnected(d direction, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, changed := n.cuts[d], n.changed
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

func (n *network) nameOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[address]
}

// relay forwards connections to a target. If the target is the platform, from is the only
// daemon that connects. If the target is a daemon, from is empty and the handshake of each
// connection names the sender.
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

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = true
}

func (r *relay) closeConn(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) serve(in net.Conn) {
	r.track(in)
	defer r.closeConn(in)
	reader := bufio.NewReaderSize(in, relayBufferBytes)
	from := r.from
	var first *http.Request
	if from == "" {
		var err error
		if first, err = http.ReadRequest(reader); err != nil {
			return
		}
		from = r.network.nameOf(first.Header.Get(peerAddressHeader))
	}
	forward, backward := direction{from, r.to}, direction{r.to, from}
	if !r.network.waitConnected(forward, r.done) {
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	r.track(out)
	defer r.closeConn(out)
	if first != nil && first.Write(out) != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go func() { r.pump(out, reader, forward); ended <- struct{}{} }()
	go func() { r.pump(in, out, backward); ended <- struct{}{} }()
	<-ended
}

// pump copies data until either end closes. A cut delays the close of a connection as it
// delays data.
func (r *relay) pump(to io.Writer, from io.Reader, d direction) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !r.network.waitConnected(d, r.done) {
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
