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

func (f *requestTracker) add(r *Request, processID uint64) { f.running[r] = processID }

func (f *requestTracker) remove(r *Request) { delete(f.running, r) }

// connectionLost moves a request to the lost ones. It returns true if its process is
// already known to be down, so that the caller must report the request itself.
func (f *requestTracker) connectionLost(r *Request, now time.Time) bool {
	processID, ok := f.running[r]
	if !ok {
		return false
	}
	delete(f.running, r)
	if f.isDown && processID == f.downProcessID {
		return true
	}
	if len(f.lost) >= maxLostRequests {
		f.lost = f.lost[1:]
	}
	f.lost = append(f.lost, lostEntry{request: newLostRequest(r), processID: processID, at: now})
	return false
}

// processEnded returns the requests whose connection broke within window before their
// process ended. Requests that still run are excluded, because a server that stops
// gracefully responds to them.
func (f *requestTracker) processEnded(processID uint64, now time.Time, window time.Duration) []LostRequest {
	f.downProcessID, f.isDown = processID, true
	var involved []LostRequest
	for _, e := range f.lost {
		if e.processID == processID && now.Sub(e.at) <= window {
			involved = append(involved, e.request)
		}
	}
	f.lost = nil
	return involved
}

// processResumed records that a process that counted as down serves again.
func (f *requestTracker) processResumed(processID uint64) {
	if processID == f.downProcessID {
		f.isDown = false
	}
}

func newLostRequest(r *Request) LostRequest {
	return LostRequest{RequestID: r.RequestID, Fingerprint: r.Fingerprint}
}
