package node

import (
	"fmt"
	"strings"
)

// peerPurpose names what bytes between nodes are for, by direction.
type peerPurpose struct{ written, read string }

// forwardPurpose is that of forwarded requests.
var forwardPurpose = peerPurpose{"requests", "responses"}

// callPurpose returns the purpose of a call to a path.
func callPurpose(path string) peerPurpose {
	name := strings.TrimPrefix(path, "/basilway/")
	return peerPurpose{name, name}
}

// peerByteCounter returns what counts the bytes of an exchange with a peer. The node that opens
// the connection counts both directions, so that each byte is counted once in the cluster.
func (n *Node) peerByteCounter(address string, purpose peerPurpose) func(written, read int) {
	same := n.sameZone(address)
	sent, received := n.metrics.peerBytes(purpose.written, same), n.metrics.peerBytes(purpose.read, same)
	return func(written, read int) {
		sent.Add(written)
		received.Add(read)
	}
}

// sameZone reports whether an address is that of a member in the node's availability zone.
func (n *Node) sameZone(address string) bool {
	for _, m := range n.views.current().Members {
		if m.Address == address {
			return m.Zone == n.config.Zone
		}
	}
	return false
}

// peerBytes returns the counter of bytes on connections to other nodes.
func (m *nodeMetrics) peerBytes(purpose string, same bool) interface{ Add(int) } {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_peer_bytes_total{purpose=%q,zone=%q}`, purpose, zoneLabel(same)))
}
