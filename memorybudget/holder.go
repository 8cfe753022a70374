package memorybudget

import "time"

// ID identifies a holder.
type ID uint64

// holder is a connection that holds memory.
type holder struct {
	id       ID
	bytes    int64
	activity Activity
	// moved is when the holder last made progress: received or sent a part, or began or ended a request.
	moved time.Time
	// closing is set once its connection is to be closed.
	closing bool
}

// small reports whether the holder counts as small once it holds more bytes.
func (h *holder) small(bytes int64, config Config) bool { return h.bytes+bytes <= config.SmallBytes }

// closable reports whether the holder's connection may be closed to make room.
func (h *holder) closable(now time.Time, sendStall time.Duration) bool {
	switch {
	case h.closing:
		return false
	case h.activity == Receiving:
		return true
	case h.activity == Sending:
		return now.Sub(h.moved) >= sendStall
	default:
		return false
	}
}

// leastIdle keeps the weight of holders that have just moved above 0, so that their bytes decide.
const leastIdle = 10 * time.Millisecond

// weight orders holders: those that hold the most and have moved the least weigh the most.
func (h *holder) weight(now time.Time) float64 {
	return float64(h.bytes) * (max(now.Sub(h.moved), 0) + leastIdle).Seconds()
}
