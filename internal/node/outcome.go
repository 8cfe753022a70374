package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/basilway/basilway/pacing"
	"github.com/basilway/basilway/verdict"
)

// outcome is the result of sending a request to one backend server.
type outcome struct {
	// resp is the backend server's response, with an open body; nil if err is set.
	resp *http.Response
	err  *verdict.Error
	// arrived is set if the request reached the backend server.
	arrived bool
	// sent is set if bytes of the request were sent to another node, even if it refused the request.
	sent bool
	// transfer is the paced transfer of a large response on this instance's link; 0 if there
	// is none.
	transfer pacing.ID
	// load is the backend server's load as reported by the node beside it.
	load peerLoad
}

// peerLoad is the load of a backend server as the node beside it reports it.
type peerLoad struct {
	known                   bool
	running, waiting, slots int
	// work is the time that the request took on the backend server; 0 if it did not run.
	work time.Duration
	// queued is the time that the request waited in the backend server's queue.
	queued time.Duration
	// incarnation is that of the backend server that responded; empty if none did.
	incarnation string
	// coldRate is how many requests per second a cold backend server is sent from all nodes; 0 if it
	// is not limited for being cold.
	coldRate float64
	// speed is the backend server's present speed relative to its usual one, and slots its learned
	// limit; 0 if the node beside it learns neither.
	speed float64
}

// encode returns the text form of the load. Nodes of earlier versions read it up to the space;
// the named fields behind it tell that this node understands compact messages.
func (l peerLoad) encode() string {
	return fmt.Sprintf("%d,%d,%d,%d,%d,%s %s", l.running, l.waiting, l.slots, l.work.Microseconds(), l.queued.Microseconds(), l.incarnation,
		encodeCompact(l.named()))
}

// maxPeerSpeed bounds the speed that another node reports.
const maxPeerSpeed = 4

// usualWork returns the time that the request would have taken at the backend server's usual speed.
func (l peerLoad) usualWork() time.Duration {
	if l.speed == 0 {
		return l.work
	}
	return time.Duration(float64(l.work) * l.speed)
}

// decodePeerLoad decodes the text form of a load. compact is set if its sender understands
// compact messages.
func decodePeerLoad(s string) (l peerLoad, compact bool) {
	if _, named, ok := strings.Cut(s, " "); ok {
		var fields namedLoad
		if err := decodeCompact(named, &fields); err == nil {
			return fields.load(), true
		}
	}
	return decodeOldPeerLoad(s), false
}

func decodeOldPeerLoad(s string) peerLoad {
	var l peerLoad
	var work, queued int64
	// Nodes of earlier versions do not send the last fields.
	if n, err := fmt.Sscanf(s, "%d,%d,%d,%d,%d,%s", &l.running, &l.waiting, &l.slots, &work, &queued, &l.incarnation); err != nil && n < 4 {
		return peerLoad{}
	}
	if min(l.running, l.waiting, l.slots) < 0 || min(work, queued) < 0 {
		return peerLoad{}
	}
	l.known, l.work, l.queued = true, wireDuration(work), wireDuration(queued)
	return l
}

// encodeFailure returns the wire form of a failed outcome between nodes.
func encodeFailure(o outcome) string {
	return fmt.Sprintf("%d,%s,%d,%t,%s", o.err.Verdict, o.err.Reason, o.err.RetryAfter.Microseconds(), o.arrived,
		strings.NewReplacer("\r", " ", "\n", " ").Replace(o.err.Message))
}

const failureFields = 5

// decodeFailure is the inverse of encodeFailure.
func decodeFailure(s string) (outcome, error) {
	f := strings.SplitN(s, ",", failureFields)
	if len(f) != failureFields {
		return outcome{}, fmt.Errorf("outcome with %d fields", len(f))
	}
	v, err := strconv.ParseUint(f[0], 10, 8)
	if err != nil {
		return outcome{}, err
	}
	retryAfter, err := strconv.ParseInt(f[2], 10, 64)
	if err != nil {
		return outcome{}, err
	}
	failure := verdict.New(verdict.Verdict(v), verdict.Reason(f[1]), "%s", f[4])
	return outcome{err: failure.WithRetryAfter(max(wireDuration(retryAfter), 0)), arrived: f[3] == "true"}, nil
}
