package coldstate

import "time"

// Tracker keeps the state of one backend server. It is not safe for concurrent use.
type Tracker struct {
	config Config
	// statedAt is when the last statement arrived; zero if there is none that counts.
	statedAt time.Time
	// coldUntil is when the backend server is warm according to its heartbeats, and answeredUntil according to
	// its answers.
	coldUntil, answeredUntil time.Time
	// sent counts the requests that were sent since the backend server was certainly warm.
	sent unconfirmed
	// answers is whether the answers of backend servers say whether they are cold.
	answers answers
	// askedAt is when the backend server was last asked.
	askedAt time.Time
	// excess is how much slower than usual the responses since the last statement were, and ended
	// their number.
	excess float64
	ended  int
}

// NewTracker returns a Tracker of a backend server in state Unknown.
func NewTracker(config Config) *Tracker { return &Tracker{config: config} }

// Heartbeat records a heartbeat that arrived at now and says how long the backend server stays
// cold. It may have been sent seconds ago, so it does not end a cold state that an answer has told of, nor
// does it confirm that the backend server was warm lately.
func (t *Tracker) Heartbeat(left time.Duration, now time.Time) {
	t.coldUntil = now.Add(max(left, 0))
	t.stated(now)
}

// Response records what a response that arrived at now, to a request sent at sentAt, says of how
// long the backend server stays cold. Responses and heartbeats may overtake each other, so only
// the response to a request sent after the last statement ends the cold state.
func (t *Tracker) Response(left time.Duration, sentAt, now time.Time) {
	t.answers = stating
	if left <= 0 {
		t.sent.confirm(sentAt)
		if sentAt.Before(t.statedAt) {
			return
		}
	}
	t.coldUntil, t.answeredUntil = now.Add(max(left, 0)), now.Add(max(left, 0))
	t.stated(now)
}

// Unstated records that the answer to a question did not say whether the backend server is cold.
func (t *Tracker) Unstated() {
	if t.answers == untried {
		t.answers = silent
	}
}

func (t *Tracker) stated(now time.Time) { t.statedAt, t.excess, t.ended = now, 0, 0 }

// Forget makes the state Unknown.
func (t *Tracker) Forget() {
	t.statedAt, t.coldUntil, t.answeredUntil, t.excess, t.ended = time.Time{}, time.Time{}, time.Time{}, 0, 0
}

// State returns what is known at now. A backend server whose answers say whether it is cold, and that has got as
// many requests as a cold one may get since it was certainly warm, is in state Unknown.
func (t *Tracker) State(now time.Time) State {
	switch {
	case t.statedAt.IsZero() || now.Sub(t.statedAt) > t.config.ValidFor:
		return Unknown
	case now.Before(t.coldUntil) || now.Before(t.answeredUntil):
		return Cold
	case t.answers == stating && t.sent.full(now):
		return Unknown
	default:
		return Warm
	}
}

// Sent records a request that is sent at now to a backend server that may get most requests in a second while it
// is cold. It reports whether so many were sent without confirmation that it is to be asked.
func (t *Tracker) Sent(most int, now time.Time) Sign {
	t.sent.add(most, now)
	if t.answers == silent || float64(t.sent.count(now)) < t.config.ConfirmShare*float64(most) {
		return None
	}
	return Unconfirmed
}

// Left returns how much longer the backend server is cold, as far as it is known.
func (t *Tracker) Left(now time.Time) time.Duration {
	return max(0, t.coldUntil.Sub(now), t.answeredUntil.Sub(now))
}

// Completed records a response that took a time, usually expected, of a backend server that may get
// bound requests in a second while it is cold. It reports whether the responses since its last
// statement are a sign that it has become cold. The sum is that of Page's test for a change (1954).
func (t *Tracker) Completed(took, expected time.Duration, bound float64) Sign {
	t.ended++
	ratio := min(float64(took)/float64(max(expected, time.Millisecond)), t.config.MaxRatio)
	t.excess = max(0, t.excess+ratio-t.config.SlowRatio)
	if t.excess <= t.config.SlowExcess || float64(t.ended) < t.config.AskShare*bound {
		return None
	}
	return Slow
}

// Overdue returns the sign Overdue if the last statement is so old, else None.
func (t *Tracker) Overdue(now time.Time) Sign {
	if now.Sub(t.statedAt) > t.config.OverdueAfter {
		return Overdue
	}
	return None
}

// Ask reports whether to ask the backend server because of a sign at now. It is not asked while it
// is known to be cold, since its next statement then ends the limit soon enough, nor more often
// than the configuration allows.
func (t *Tracker) Ask(sign Sign, now time.Time) bool {
	if sign == None || sign != Overdue && t.State(now) == Cold {
		return false
	}
	interval := t.config.AskInterval
	if sign == Unconfirmed {
		interval = t.config.ConfirmInterval
	}
	if !t.askedAt.IsZero() && now.Sub(t.askedAt) < interval {
		return false
	}
	t.askedAt = now
	return true
}
