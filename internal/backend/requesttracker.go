package backend

import "time"

// requestTracker holds the requests in flight, and those whose connection broke recently,
// so that a crash can be attributed to them.
type requestTracker struct {
	// running maps each request in flight to the process that it was sent to.
	running map[*Request]uint64
	lost    []lostEntry
	// downProcessID is the process that ended last; it is valid if isDown is set.
	downProcessID uint64
	isDown        bool
}

type lostEntry struct {
	request   LostRequest
	processID uint64
	at        time.Time
}

func (t *requestTracker) add(r *Request, processID uint64) { t.running[r] = processID }

func (t *requestTracker) remove(r *Request) { delete(t.running, r) }

// connectionLost moves a request to the lost ones. It returns true if its process is
// already known to be down, so that the caller must report the request itself.
func (t *requestTracker) connectionLost(r *Request, now time.Time) bool {
	processID, ok := t.running[r]
	if !ok {
		return false
	}
	delete(t.running, r)
	if t.isDown && processID == t.downProcessID {
		return true
	}
	if len(t.lost) >= maxLostRequests {
		t.lost = t.lost[1:]
	}
	t.lost = append(t.lost, lostEntry{request: newLostRequest(r), processID: processID, at: now})
	return false
}

// processEnded returns the requests whose connection broke within window before their
// process ended. Requests that still run are excluded, because a server that stops
// gracefully responds to them.
func (t *requestTracker) processEnded(processID uint64, now time.Time, window time.Duration) []LostRequest {
	t.downProcessID, t.isDown = processID, true
	var involved []LostRequest
	for _, e := range t.lost {
		if e.processID == processID && now.Sub(e.at) <= window {
			involved = append(involved, e.request)
		}
	}
	t.lost = nil
	return involved
}

// processResumed records that a process that counted as down serves again.
func (t *requestTracker) processResumed(processID uint64) {
	if processID == t.downProcessID {
		t.isDown = false
	}
}

func newLostRequest(r *Request) LostRequest {
	return LostRequest{RequestID: r.RequestID, Fingerprint: r.Fingerprint}
}
