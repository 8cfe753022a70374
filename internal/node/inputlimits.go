package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/memorybudget"
	"github.com/basilway/basilway/verdict"
)

const (
	// inputPercent is the percentage of the instance's memory that all clients and other nodes together
	// may make the process hold. The rest is for the cluster's state and for the garbage collector.
	inputPercent = 25
	// defaultMemory is the memory of the instance in bytes if it is not known.
	defaultMemory = 512 << 20
	// clientBodyTimeout is how long a client may take to send 16 KiB of a body. It is longer than any deadline.
	clientBodyTimeout = 30 * time.Second
	// openConnPercent is the percentage of the file descriptors that accepted connections may use. Beyond
	// it, one that is idle is closed for a new one. The rest is for connections that the node opens.
	openConnPercent = 70
)

// newInputLimiter returns the limiter of what the node's servers hold.
func newInputLimiter(n *Node) *inputlimit.Limiter {
	memory := n.config.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}
	budget := memorybudget.DefaultConfig(memory / 100 * inputPercent)
	budget.MaxHolders = n.config.MaxDescriptors * openConnPercent / 100
	return inputlimit.New(inputlimit.Config{
		Budget: budget, BodyTimeout: clientBodyTimeout,
		Closed: func(server string, c memorybudget.Closed) {
			n.metrics.countInputClosed(server, c.Activity)
			n.events.log.Info("connection closed to free memory or a descriptor", zap.String("server", server), zap.Int64("bytes", c.Bytes),
				zap.Stringer("activity", c.Activity), zap.Duration("idle", c.Idle))
		},
		Refused: func(server string, bytes int64) {
			n.metrics.countInputRefused(server)
			n.events.log.Info("no room for what a client sent", zap.String("server", server), zap.Int64("bytes", bytes))
		},
	})
}

// noRoom is the refusal of a request for which there is no memory. Nothing of it was passed on.
func noRoom() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%v", inputlimit.ErrFull).WithRetryAfter(defaultRetryAfter)
}

// refuseClient answers a client's request for which there is no memory.
func (n *Node) refuseClient(w http.ResponseWriter, r *http.Request) {
	n.metrics.countUnanswered("unknown", string(verdict.ReasonOverloaded))
	n.reject(w, r.Header.Get(n.headers.RequestID), noRoom())
}

// refuseForwarded answers a request of another node for which there is no memory.
func (n *Node) refuseForwarded(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close") // the rest of the body is not read
	w.Header().Set(n.headers.RequestID, r.Header.Get(n.headers.RequestID))
	w.Header().Set(outcomeHeader, encodeFailure(outcome{err: noRoom()}))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refusePeer answers what another node sent and for which there is no memory.
func (n *Node) refusePeer(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(ticketHeader) != "" || r.Header.Get(compactHeader) != "" {
		n.refuseForwarded(w, r)
		return
	}
	refuseForMemory(w, r)
}

// refuseForMemory answers a message for which there is no memory.
func refuseForMemory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	http.Error(w, inputlimit.ErrFull.Error(), http.StatusServiceUnavailable)
}
