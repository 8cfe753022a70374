package node

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/freshness"
)

// routesHeader carries, in the named form of a forwarded request and of the response to it, the version of the desired
// state in the sender and the address at which it can be asked for it: "VERSION,ADDRESS". The two nodes of a compact
// request have the same desired state.
const routesHeader = "Basilway-Routes"

const (
	// defaultApplyTime applies if Bounds.ConfigApply is not set.
	defaultApplyTime = 2 * time.Second
	// tolerancePercent is the percentage of the time within which a desired state must be in force for which a node
	// goes on with an older one. The rest is for the news to reach the node.
	tolerancePercent = 50
	// sightingExpiry is how long it counts that a newer desired state was heard of. Nodes name theirs to each other
	// every few seconds.
	sightingExpiry = 5 * time.Second
)

// routeFreshness is what the node knows of desired states newer than its own. It is safe for concurrent use.
type routeFreshness struct {
	log *zap.Logger

	mu       sync.Mutex
	tracker  *freshness.Tracker
	decoding int
	// outdated is set while requests are not handled by the desired state in force.
	outdated bool
}

func newRouteFreshness(applyTime time.Duration, log *zap.Logger) *routeFreshness {
	if applyTime == 0 {
		applyTime = defaultApplyTime
	}
	return &routeFreshness{log: log, tracker: freshness.New(freshness.Config{Tolerance: applyTime * tolerancePercent / 100, Expiry: sightingExpiry})}
}

func (f *routeFreshness) heard(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Heard(version, time.Now())
}

func (f *routeFreshness) applied(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Applied(version)
}

func (f *routeFreshness) rejected(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Rejected(version)
}

// beginDecode records that a new desired state is being decoded. The caller calls the returned function once it is
// applied.
func (f *routeFreshness) beginDecode() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decoding++
	f.tracker.Decoding(time.Now())
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.decoding--; f.decoding == 0 {
			f.tracker.Decoded()
		}
	}
}

// judge returns what may be done with a request by the desired state in force.
func (f *routeFreshness) judge() freshness.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	verdict := f.tracker.Judge(now)
	if outdated := verdict == freshness.Outdated; outdated != f.outdated {
		f.outdated = outdated
		if outdated {
			f.log.Warn("requests wait for a newer desired state", zap.Duration("known for", f.tracker.OutdatedFor(now)))
		} else {
			f.log.Info("requests are handled by the newest known desired state again")
		}
	}
	return verdict
}

// heardDesiredState records that the node at an address has a version of the desired state. Without an address it
// cannot be asked for it.
func (n *Node) heardDesiredState(version uint64, address string) {
	n.freshness.heard(version)
	n.fetcher.heard(version, address)
}

// setRoutesHeader names the node's desired state to the next node or the one before.
func (n *Node) setRoutesHeader(h http.Header, version uint64) {
	h.Set(routesHeader, strconv.FormatUint(version, 10)+","+n.config.PeerAddress)
}

// takeRoutesHeader removes what another node says of its desired state and returns the version, 0 if it names none.
func (n *Node) takeRoutesHeader(h http.Header) uint64 {
	value := h.Get(routesHeader)
	if value == "" {
		return 0
	}
	h.Del(routesHeader)
	number, address, _ := strings.Cut(value, ",")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		n.log.Warn("version of another node ignored", zap.String("header", value))
		return 0
	}
	if routes := n.views.current().Routes; routes == nil || version > routes.Version {
		n.heardDesiredState(version, address)
	}
	return version
}
