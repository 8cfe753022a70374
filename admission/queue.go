package admission

import (
	"slices"
	"time"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/verdict"
)

type entryState uint8

const (
	entryFree entryState = iota
	entryWaiting
	entryRunning
)

// entry is a request that waits or runs. Entries are reused.
type entry struct {
	state   entryState
	index   uint32 // position in table.entries
	uses    uint32 // tells tickets of earlier uses apart
	class   catalogue.Class
	team    *team
	key     *key
	caller  *caller
	arrival uint64
	// startBy is the time after which the request must not start.
	startBy time.Time
	// late is the reason to give when startBy has passed.
	late verdict.Reason
}

func (e *entry) ticket() Ticket { return Ticket(e.uses)<<32 | Ticket(e.index) }

// table finds entries by ticket without a map.
type table struct {
	entries []*entry
	free    []*entry
}

func (t *table) add() *entry {
	if len(t.free) == 0 {
		e := &entry{index: uint32(len(t.entries))}
		t.entries = append(t.entries, e)
		t.free = append(t.free, e)
	}
	e := pop(&t.free)
	e.uses++ // from 1, so that no ticket is 0
	return e
}

// get returns the entry of a valid ticket in the given state, or nil.
func (t *table) get(ticket Ticket, state entryState) *entry {
	i := uint32(ticket)
	if int(i) >= len(t.entries) {
		return nil
	}
	if e := t.entries[i]; e.uses == uint32(ticket>>32) && e.state == state {
		return e
	}
	return nil
}

func (t *table) remove(e *entry) {
	*e = entry{index: e.index, uses: e.uses}
	t.free = append(t.free, e)
}

// queue holds waiting entries in the order of arrival. It is short, so that choosing
// by a scan is cheaper than keeping nested queues.
type queue struct {
	waiting []*entry
	// earliest is at or before the first startBy, so that most events need no scan.
	earliest time.Time
}

func (q *queue) add(e *entry) {
	if len(q.waiting) == 0 || e.startBy.Before(q.earliest) {
		q.earliest = e.startBy
	}
	q.waiting = append(q.waiting, e)
}

func (q *queue) remove(e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// expired removes one entry that must not start any more and returns it, or nil.
func (q *queue) expired(now time.Time) *entry {
	if len(q.waiting) == 0 || now.Before(q.earliest) {
		return nil
	}
	q.earliest = q.waiting[0].startBy
	for i, e := range q.waiting {
		if !now.Before(e.startBy) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			q.earliest = now // others may be due as well
			return e
		}
		if e.startBy.Before(q.earliest) {
			q.earliest = e.startBy
		}
	}
	return nil
}

// worst returns the entry to reject among those that match.
func (q *queue) worst(match func(*entry) bool) *entry {
	var worst *entry
	for _, e := range q.waiting {
		if match(e) && (worst == nil || e.worse(worst)) {
			worst = e
		}
	}
	return worst
}
