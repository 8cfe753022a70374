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
	state      entryState
	index      uint32 // position in entryTable.entries
	generation uint32 // part of the ticket; differs from those of earlier uses
	class      catalogue.Class
	team       *team
	key        *key
	caller     *caller
	arrival    uint64
	// startBy is the time from which the request must not start.
	startBy time.Time
	// expiryReason is the reason of the rejection once startBy has passed.
	expiryReason verdict.Reason
}

func (e *entry) ticket() Ticket { return Ticket(e.generation)<<32 | Ticket(e.index) }

// entryTable finds entries by ticket without a map.
type entryTable struct {
	entries []*entry
	free    []*entry
}

func (t *entryTable) add() *entry {
	if len(t.free) == 0 {
		e := &entry{index: uint32(len(t.entries))}
		t.entries = append(t.entries, e)
		t.free = append(t.free, e)
	}
	e := popOrNew(&t.free)
	e.generation++ // starts at 1, so no ticket is 0
	return e
}

// get returns the entry of a valid ticket in the given state, or nil.
func (t *entryTable) get(ticket Ticket, state entryState) *entry {
	i := uint32(ticket)
	if int(i) >= len(t.entries) {
		return nil
	}
	if e := t.entries[i]; e.generation == uint32(ticket>>32) && e.state == state {
		return e
	}
	return nil
}

func (t *entryTable) remove(e *entry) {
	*e = entry{index: e.index, generation: e.generation}
	t.free = append(t.free, e)
}

// queue holds waiting entries in order of arrival. It is short, so choosing by a scan is
// cheaper than keeping nested queues.
type queue struct {
	waiting []*entry
	// nextExpiry is at or before the first startBy, so that most events need no scan.
	nextExpiry time.Time
}

func (q *queue) add(e *entry) {
	if len(q.waiting) == 0 || e.startBy.Before(q.nextExpiry) {
		q.nextExpiry = e.startBy
	}
	q.waiting = append(q.waiting, e)
}

func (q *queue) remove(e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// popExpired removes one entry that may no longer start and returns it, or nil.
func (q *queue) popExpired(now time.Time) *entry {
	if len(q.waiting) == 0 || now.Before(q.nextExpiry) {
		return nil
	}
	q.nextExpiry = q.waiting[0].startBy
	for i, e := range q.waiting {
		if !now.Before(e.startBy) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			q.nextExpiry = now // others may have expired as well
			return e
		}
		if e.startBy.Before(q.nextExpiry) {
			q.nextExpiry = e.startBy
		}
	}
	return nil
}

// firstToShed returns the entry to reject first among those that match, or nil.
func (q *queue) firstToShed(match func(*entry) bool) *entry {
	var first *entry
	for _, e := range q.waiting {
		if match(e) && (first == nil || e.shedBefore(first)) {
			first = e
		}
	}
	return first
}
