package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// thawSlack is thaw_slack_ms, and bothHold the time after which two holders break the rule
	// without requests.
	thawSlack = 300 * time.Millisecond
	bothHold  = 500 * time.Millisecond
)

// hold is a row that an endpoint held from one time to another.
type hold struct {
	endpoint string
	row
	from, to time.Time // to moves on with each renewal
	closed   bool
	// excused is set as long as all grants of it arrived within thaw_slack_ms after a link healed.
	excused bool
}

// work is a request that an endpoint ran.
type work struct {
	endpoint, id string
	key          uint64
	began, ended time.Time // ended is zero while it runs
	holdEnd      time.Time // when the hold at its begin would have run out
}

// holdLog records what all endpoints of a service hold and run, for the rule OWNER.
type holdLog struct {
	mu    sync.Mutex
	holds []*hold
	works []*work
	heals map[string]time.Time
}

func newHoldLog() *holdLog { return &holdLog{heals: map[string]time.Time{}} }

func (l *holdLog) healed(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heals[endpoint] = at
}

// set makes rows those that an endpoint holds from now on, until a time.
func (l *holdLog) set(endpoint string, rows []row, now, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	healed, ok := l.heals[endpoint]
	slack := ok && now.Sub(healed) < thawSlack
	open := map[row]*hold{}
	for _, h := range l.holds {
		if h.endpoint == endpoint && !h.closed {
			open[h.row] = h
		}
	}
	for _, r := range rows {
		if h := open[r]; h != nil && !now.After(h.to) {
			h.to = until
			if h.excused && !slack {
				h.from, h.excused = now, false
			}
			delete(open, r)
			continue
		}
		l.holds = append(l.holds, &hold{endpoint: endpoint, row: r, from: now, to: until, excused: slack})
	}
	for _, h := range open {
		h.closed = true
		if now.Before(h.to) {
			h.to = now
		}
	}
}

// end ends all holds and requests of an endpoint that is down.
func (l *holdLog) end(endpoint string, now time.Time) {
	l.set(endpoint, nil, now, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.works {
		if w.endpoint == endpoint && w.ended.IsZero() {
			w.ended = now
		}
	}
}

func (l *holdLog) begin(endpoint, id string, key uint64, now, holdEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.works = append(l.works, &work{endpoint: endpoint, id: id, key: key, began: now, holdEnd: holdEnd})
}

func (l *holdLog) done(endpoint, id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.works {
		if w.endpoint == endpoint && w.id == id && w.ended.IsZero() {
			w.ended = now
		}
	}
}

// violations returns where the rule OWNER was broken, the longest overlaps first. Grants that arrive
// within thaw_slack_ms after a link healed don't count.
func (l *holdLog) violations(r *record) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	type found struct {
		length time.Duration
		text   string
	}
	var all []found
	for i, a := range l.holds {
		for _, b := range l.holds[i+1:] {
			if a.endpoint == b.endpoint || a.excused || b.excused || !a.overlaps(b.row) {
				continue
			}
			from, to := maxTime(a.from, b.from), a.to
			if b.to.Before(to) {
				to = b.to
			}
			both := to.Sub(from)
			if both <= 0 {
				continue
			}
			ranA, ranB := l.beganIn(a, b, from, to), l.beganIn(b, a, from, to)
			if both > bothHold || ranA != "" && ranB != "" {
				all = append(all, found{both, fmt.Sprintf("%s holds %v and %s holds %v from %s to %s (%v); requests that began there meanwhile: %q and %q",
					a.endpoint, a.row, b.endpoint, b.row, r.at(from), r.at(to), both.Round(time.Millisecond), ranA, ranB)})
			}
		}
	}
	for _, h := range l.holds {
		for _, w := range l.works {
			atWork := w.began.Before(h.from) && (w.ended.IsZero() || w.ended.After(h.from))
			if w.endpoint != h.endpoint && !h.excused && h.has(w.key) && atWork && h.from.Before(w.holdEnd) {
				all = append(all, found{0, fmt.Sprintf("%s is given %v at %s while %s is at work on key %d (request %s since %s) and its hold runs until %s",
					h.endpoint, h.row, r.at(h.from), w.endpoint, w.key, w.id, r.at(w.began), r.at(w.holdEnd))})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].length > all[j].length })
	var out []string
	for _, f := range all {
		out = append(out, f.text)
	}
	return out
}

// beganIn returns a request on keys of both holds that the first one's endpoint began between two
// times, or "". l.mu must be held.
func (l *holdLog) beganIn(h, other *hold, from, to time.Time) string {
	for _, w := range l.works {
		if w.endpoint == h.endpoint && h.has(w.key) && other.has(w.key) && !w.began.Before(from) && w.began.Before(to) {
			return w.id
		}
	}
	return ""
}
