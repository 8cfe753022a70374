package backend

import "time"

// inFlight knows the requests that run at a server, and those whose connection broke a
// short time ago, so that a crash can be charged to them.
type inFlight struct {
	running map[*Request]uint64
	lost    []lostEntry
	// down is the process that ended last, if isDown is set.
	down   uint64
	isDown bool
}

type lostEntry struct {
	request   LostRequest
	processID uint64
	at        time.Time
}

func (f *inFlight) add(r *Request, processID uint64) { f.running[r] = processID }

func (f *inFlight) remove(r *Request) { delete(f.running, r) }

// broken moves a request to the lost ones. It returns true if its process is known to be
// down, so that the request is to be reported now.
func (f *inFlight) broken(r *Request, now time.Time) bool {
	processID, ok := f.running[r]
	if !ok {
		return false
	}
	delete(f.running, r)
	if f.isDown && processID == f.down {
		return true
	}
	if len(f.lost) >= maxLost {
		f.lost = f.lost[1:]
	}
	f.lost = append(f.lost, lostEntry{request: lostOf(r), processID: processID, at: now})
	return false
}

// ended returns the requests whose connection broke shortly before their process ended.
// Requests that still run are not among them: a server that stops gracefully answers them.
func (f *inFlight) ended(processID uint64, now time.Time, window time.Duration) []LostRequest {
	f.down, f.isDown = processID, true
	var involved []LostRequest
	for _, e := range f.lost {
		if e.processID == processID && now.Sub(e.at) <= window {
			involved = append(involved, e.request)
		}
	}
	f.lost = nil
	return involved
}

// resumed means that the process that was down serves again.
func (f *inFlight) resumed(processID uint64) {
	if processID == f.down {
		f.isDown = false
	}
}

func lostOf(r *Request) LostRequest {
	return LostRequest{RequestID: r.RequestID, Fingerprint: r.Fingerprint}
}
