package coldstate

import "time"

// countedFor is how long a request counts: the second for which a cold backend server has a limit, and a margin for
// the delay of requests on their way.
const countedFor = time.Second + 100*time.Millisecond

// unconfirmed are the requests that were sent since the backend server was certainly warm. It may have become cold
// at any time since, so there must not be more in a second than a cold one may get. The zero value has none.
type unconfirmed struct {
	most int
	sent []time.Time
}

// add records a request. Older ones beyond most are forgotten.
func (u *unconfirmed) add(most int, now time.Time) {
	u.most = most
	u.expire(now)
	if len(u.sent) >= most && len(u.sent) > 0 {
		u.sent = u.sent[1:]
	}
	u.sent = append(u.sent, now)
}

// confirm records that the backend server was warm at a time.
func (u *unconfirmed) confirm(at time.Time) {
	keep := 0
	for keep < len(u.sent) && u.sent[keep].Before(at) {
		keep++
	}
	u.sent = u.sent[keep:]
}

func (u *unconfirmed) expire(now time.Time) { u.confirm(now.Add(-countedFor)) }

func (u *unconfirmed) count(now time.Time) int {
	u.expire(now)
	return len(u.sent)
}

// full reports whether a cold backend server must not get another request.
func (u *unconfirmed) full(now time.Time) bool { return u.most > 0 && u.count(now) >= u.most }
