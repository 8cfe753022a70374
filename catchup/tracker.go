// Package catchup decides how a node that lacks the newest version of a value gets it: which of the nodes
// that have a newer one it asks next, and when it has waited for them long enough to read the store
// itself. It does no I/O and reads no clock.
package catchup

import "time"

// Config holds the parameters of a Tracker.
type Config struct {
	// FailurePause is how long a node is not asked again after it did not answer, and BusyPause the same
	// after it said that it serves others.
	FailurePause, BusyPause time.Duration
	// MaxFailures is the number of failures in a row, without those for being busy, after which a node does not count as
	// having a newer version until it is heard of again.
	MaxFailures int
	// MaxHolders is the number of nodes with a newer version that are remembered.
	MaxHolders int
}

// Failure is why a node did not deliver anything.
type Failure uint8

const (
	// Unanswered means that the node did not answer, or not in an understandable way.
	Unanswered Failure = iota
	// Busy means that it serves too many others at present.
	Busy
	// Outdated means that it has no newer version than this node.
	Outdated
)

// holder is a node that has a newer version.
type holder struct {
	address     string
	version     uint64
	pausedUntil time.Time
	// took is how long its last answer took; 0 if it was not asked yet.
	took time.Duration
	// failures are those since its last answer.
	failures int
}

// precedes reports whether h is asked before another holder.
func (h holder) precedes(other holder) bool {
	if h.version != other.version {
		return h.version > other.version
	}
	return h.took < other.took
}

// Tracker is what a node knows of newer versions than its own.
type Tracker struct {
	config Config
	// have is the version in force, newest the newest one that another node has.
	have, newest uint64
	// since is when the oldest version that is lacked became known, or when the last one was applied if
	// that was later. progressAt is when the last part of one arrived.
	since, progressAt time.Time
	holders           []holder // the one heard of last is last
}

// New returns a tracker of a node without any version.
func New(config Config) *Tracker { return &Tracker{config: config} }

// Heard records that the node at an address has a version. It reports whether the version is newer than
// all known before.
func (t *Tracker) Heard(version uint64, address string, now time.Time) (newest bool) {
	if version <= t.have {
		return false
	}
	if newest = version > t.newest; newest {
		if t.newest <= t.have {
			t.since = now
		}
		t.newest = version
	}
	known := holder{address: address, version: version}
	kept := t.holders[:0]
	for _, h := range t.holders {
		if h.address == address {
			known = h
			known.version = max(h.version, version)
			continue
		}
		kept = append(kept, h)
	}
	t.holders = append(kept, known)
	if len(t.holders) > t.config.MaxHolders {
		t.holders = t.holders[1:]
	}
	return newest
}

// Applied records the version in force.
func (t *Tracker) Applied(version uint64, now time.Time) {
	if version <= t.have {
		return
	}
	t.have, t.since = version, now
	kept := t.holders[:0]
	for _, h := range t.holders {
		if h.version > version {
			kept = append(kept, h)
		}
	}
	t.holders = kept
}

// Answered records that a part of a newer version arrived from a node, and how long its answer took.
func (t *Tracker) Answered(address string, took time.Duration, now time.Time) {
	t.progressAt = now
	for i := range t.holders {
		if t.holders[i].address == address {
			t.holders[i].took, t.holders[i].failures = took, 0
		}
	}
}

// Failed records that a node delivered nothing. Once nobody is left who has a newer version, none counts
// as known: it may have been lost with the nodes that had it.
func (t *Tracker) Failed(address string, failure Failure, now time.Time) {
	for i := range t.holders {
		h := &t.holders[i]
		if h.address != address {
			continue
		}
		switch failure {
		case Busy:
			h.pausedUntil = now.Add(t.config.BusyPause)
			return
		case Unanswered:
			h.pausedUntil = now.Add(t.config.FailurePause)
			if h.failures++; h.failures < t.config.MaxFailures {
				return
			}
		}
		t.holders = append(t.holders[:i], t.holders[i+1:]...)
		if len(t.holders) == 0 {
			t.newest = t.have
		}
		return
	}
}

// Behind returns how long a newer version than the one in force has been known; 0 if none is.
func (t *Tracker) Behind(now time.Time) time.Duration {
	if t.newest <= t.have {
		return 0
	}
	return max(now.Sub(t.since), 0)
}

// Stalled returns how long a newer version has been known without that a part of one arrived.
func (t *Tracker) Stalled(now time.Time) time.Duration {
	return min(t.Behind(now), now.Sub(t.progressAt))
}

// Next returns the address of the node to ask now. Among those that may be asked it is one with the newest
// version: one that was not asked yet, or else the one that answered fastest. random, at least 0 and below
// 1, decides between equals. Without any, Next returns how long to wait; 0 until another node is heard of.
func (t *Tracker) Next(now time.Time, random float64) (address string, wait time.Duration) {
	var best []string
	var first holder // of the best ones
	for _, h := range t.holders {
		if left := h.pausedUntil.Sub(now); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		if len(best) == 0 || h.precedes(first) {
			first, best = h, best[:0]
		}
		if !first.precedes(h) {
			best = append(best, h.address)
		}
	}
	if len(best) == 0 {
		return "", wait
	}
	return best[int(random*float64(len(best)))], 0
}
