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
	// speed is the backend server's present speed relative to its usual one, and slots its learned
	// limit; 0 if the node beside it learns neither.
	speed float64
}

// speedKey precedes the speed in the optional fields of the load, which follow the others after a
// space, so that nodes of earlier versions don't read them.
const speedKey = "speed="

// maxPeerSpeed bounds the speed that another node reports.
const maxPeerSpeed = 4

func (l peerLoad) encode() string {
	encoded := fmt.Sprintf("%d,%d,%d,%d,%d,%s", l.running, l.waiting, l.slots, l.work.Microseconds(), l.queued.Microseconds(), l.incarnation)
	if l.speed > 0 {
		encoded += fmt.Sprintf(" %s%.3f", speedKey, l.speed)
	}
	return encoded
}

// usualWork returns the time that the request would have taken at the backend server's usual speed.
func (l peerLoad) usualWork() time.Duration {
	if l.speed == 0 {
		return l.work
	}
	return time.Duration(float64(l.work) * l.speed)
}

func decodePeerLoad(s string) peerLoad {
	var l peerLoad
	s, options, _ := strings.Cut(s, " ")
	for _, option := range strings.Fields(options) {
		if value, ok := strings.CutPrefix(option, speedKey); ok {
			if speed, err := strconv.ParseFloat(value, 64); err == nil && speed > 0 {
				l.speed = speed
			}
		}
	}
	var work, queued int64
	// Nodes of earlier versions do not send the last fields.
	if n, err := fmt.Sscanf(s, "%d,%d,%d,%d,%d,%s", &l.running, &l.waiting, &l.slots, &work, &queued, &l.incarnation); err != nil && n < 4 {
		return peerLoad{}
	}
	l.speed = min(l.speed, maxPeerSpeed)
	l.known, l.work, l.queued = true, time.Duration(work)*time.Microsecond, time.Duration(queued)*time.Microsecond
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
	return outcome{err: failure.WithRetryAfter(time.Duration(retryAfter) * time.Microsecond), arrived: f[3] == "true"}, nil
}
