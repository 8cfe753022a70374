package backendstatus

import "time"

// Retention is how long an incarnation without responses is remembered. It is longer than any
// backend server takes to leave.
const Retention = 10 * time.Minute

// status is what is known of one incarnation.
type status struct {
	report Report
	// heard is set once a response came from it, rather than a hint from another node.
	heard bool
	// limitNamedAt is when the last response that names a limit arrived.
	limitNamedAt time.Time
	// leavingSince is when the first response that states the leave arrived.
	leavingSince time.Time
	updatedAt    time.Time
}

// Table keeps the status of backend servers by incarnation. It is not safe for concurrent use.
type Table struct{ statuses map[string]*status }

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{statuses: map[string]*status{}} }

// Observe records the report of a response that arrived at now to a request sent at sentAt. It
// returns whether that changes the limit, and whether the leave is new.
//
// A limit holds until a response without one. Responses may overtake each other, so only the
// response to a request sent after the limit was last named ends it. A zero sentAt means that
// the response says nothing by not naming a limit: it failed, or answers a health check. A leave
// is final.
func (t *Table) Observe(incarnation string, r Report, sentAt, now time.Time) (limitChanged, leaves bool) {
	s := t.get(incarnation, now)
	s.heard = s.heard || r.Limited || !sentAt.IsZero()
	if r.Leaving && s.leavingSince.IsZero() {
		s.leavingSince, leaves = now, true
	}
	switch {
	case r.Limited:
		limitChanged = !s.report.Limited || s.report.Limit != r.Limit
		s.limitNamedAt = now
	case s.report.Limited && !sentAt.Before(s.limitNamedAt):
		limitChanged = true
	default:
		return false, leaves
	}
	s.report.Limited, s.report.Limit = r.Limited, r.Limit
	return limitChanged, leaves
}

// Hint records a limit that another node knows of. It has no effect once a response has
// arrived, and returns whether it changes the limit.
func (t *Table) Hint(incarnation string, limit float64, now time.Time) (limitChanged bool) {
	s := t.get(incarnation, now)
	if s.heard || s.report.Limited && s.report.Limit == limit {
		return false
	}
	s.report.Limited, s.report.Limit, s.limitNamedAt = true, limit, now
	return true
}

// Limit returns the limit of an incarnation in requests a second, if it has one.
func (t *Table) Limit(incarnation string) (perSecond float64, limited bool) {
	if s := t.statuses[incarnation]; s != nil && s.report.Limited {
		return s.report.Limit, true
	}
	return 0, false
}

// LeavingFor returns how long it is known that an incarnation leaves, and false if it isn't
// known to leave.
func (t *Table) LeavingFor(incarnation string, now time.Time) (time.Duration, bool) {
	s := t.statuses[incarnation]
	if s == nil || s.leavingSince.IsZero() {
		return 0, false
	}
	return now.Sub(s.leavingSince), true
}

func (t *Table) get(incarnation string, now time.Time) *status {
	s := t.statuses[incarnation]
	if s == nil {
		t.expire(now)
		s = &status{}
		t.statuses[incarnation] = s
	}
	s.updatedAt = now
	return s
}

// expire removes the incarnations without responses for Retention.
func (t *Table) expire(now time.Time) {
	for incarnation, s := range t.statuses {
		if now.Sub(s.updatedAt) > Retention {
			delete(t.statuses, incarnation)
		}
	}
}
