package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxSharedHold is for how long two endpoints may hold the same keys, in the rule OWNER.
const maxSharedHold = 500 * time.Millisecond

// interval is a time in which an endpoint held keys.
type interval struct {
	boot       *boot
	from, to   int
	fence      uint64
	start, end time.Time // end is zero while it holds them
}

// runEvent is a request that an endpoint began to run.
type runEvent struct {
	boot *boot
	id   string
	key  int
	path string
	at   time.Time
}

// judge records what endpoints held and ran.
type judge struct {
	*record
	mu        sync.Mutex
	intervals []*interval
	runs      []runEvent
}

func newJudge(r *record) *judge { return &judge{record: r} }

// down ends what a boot held.
func (j *judge) down(b *boot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, i := range j.intervals {
		if i.boot == b && i.end.IsZero() {
			i.end = time.Now()
		}
	}
}

// hold records that a boot holds keys from now on.
func (j *judge) hold(b *boot, from, to int, fence uint64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.intervals = append(j.intervals, &interval{boot: b, from: from, to: to, fence: fence, start: now})
	j.linef("%s (%s) holds keys %d to %d with fence %d", b.id, b.e.machine.name, from, to, fence)
}

// release records that a boot holds keys no longer.
func (j *judge) release(b *boot, from, to int, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.linef("%s (%s) holds keys %d to %d no longer", b.id, b.e.machine.name, from, to)
	var rest []*interval
	for _, i := range j.intervals {
		if i.boot != b || !i.end.IsZero() || i.to < from || to < i.from {
			continue
		}
		if i.from < from {
			left := *i
			left.to = from - 1
			rest = append(rest, &left)
		}
		if i.to > to {
			right := *i
			right.from = to + 1
			rest = append(rest, &right)
		}
		i.from, i.to, i.end = max(i.from, from), min(i.to, to), now
	}
	j.intervals = append(j.intervals, rest...)
}

// run records that a boot begins to run a request.
func (j *judge) run(b *boot, id string, key int, path string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, runEvent{b, id, key, path, time.Now()})
	j.linef("%s (%s) runs %s, key %d", b.id, b.e.machine.name, id, key)
}

// runsOf returns the runs of a boot.
func (j *judge) runsOf(b *boot) []runEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []runEvent
	for _, r := range j.runs {
		if r.boot == b {
			out = append(out, r)
		}
	}
	return out
}

// owner returns what breaks the rule OWNER.
func (j *judge) owner() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	now := time.Now()
	for x, a := range j.intervals {
		for _, b := range j.intervals[x+1:] {
			if a.boot == b.boot || a.to < b.from || b.to < a.from {
				continue
			}
			start, end := a.start, now
			if b.start.After(start) {
				start = b.start
			}
			for _, i := range []*interval{a, b} {
				if !i.end.IsZero() && i.end.Before(end) {
					end = i.end
				}
			}
			if !start.Before(end) {
				continue
			}
			from, to := max(a.from, b.from), min(a.to, b.to)
			begun := [2]int{j.begun(a.boot, from, to, start, end), j.begun(b.boot, from, to, start, end)}
			line := fmt.Sprintf("OWNER: %s and %s both hold keys %d to %d from %s to %s (%d ms), with fences %d and %d, and begin %d and %d requests on them in that time",
				a.boot.id, b.boot.id, from, to, j.at(start), j.at(end), end.Sub(start).Milliseconds(), a.fence, b.fence, begun[0], begun[1])
			if end.Sub(start) > maxSharedHold || begun[0] > 0 && begun[1] > 0 {
				out = append(out, line)
			} else {
				j.linef("within the rule: %s", line)
			}
		}
	}
	return append(out, j.fences()...)
}

// begun counts the requests on keys that a boot began to run within a time. j.mu must be held.
func (j *judge) begun(b *boot, from, to int, start, end time.Time) int {
	n := 0
	for _, r := range j.runs {
		if r.boot == b && from <= r.key && r.key <= to && !r.at.Before(start) && r.at.Before(end) {
			n++
		}
	}
	return n
}

// fences returns the keys that were taken with a fencing token that is not above all with which others had them.
// j.mu must be held.
func (j *judge) fences() []string {
	var out []string
	for _, a := range j.intervals {
		for _, b := range j.intervals {
			if a.boot != b.boot && a.from <= b.to && b.from <= a.to && b.start.Before(a.start) && a.fence <= b.fence {
				out = append(out, fmt.Sprintf("OWNER: %s takes keys %d to %d at %s with fence %d, with which or above which %s had some before",
					a.boot.id, a.from, a.to, j.at(a.start), a.fence, b.boot.id))
			}
		}
	}
	return out
}

// twice returns the requests that ran more than once.
func (j *judge) twice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := map[string]int{}
	var out []string
	for _, r := range j.runs {
		if counts[r.id]++; counts[r.id] == 2 && strings.HasPrefix(r.path, nonIdempotentPrefix) {
			out = append(out, fmt.Sprintf("TWICE: %s ran more than once", r.id))
		}
	}
	slices.Sort(out)
	return out
}
