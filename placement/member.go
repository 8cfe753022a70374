package placement

import "github.com/basilway/basilway/keyrange"

// Member is a backend server of the service that Plan divides keys over.
type Member struct {
	Owner keyrange.Owner
	Slots int
	// Speed is relative to the mean speed of the service; 1 if it is not known.
	Speed float64
	// MaxLoad is the load in slots of nominal speed to which the member limits itself if
	// Limited is set.
	MaxLoad float64
	Limited bool
	// Draining members give all their keys away and get none.
	Draining bool
	// Evacuated members are in an evacuated availability zone. They are like draining ones, within a
	// limit of open moves.
	Evacuated bool
	// Slowed is set for a short time after the member became much slower. More of its keys may be
	// moved at once.
	Slowed bool
	// Cold members are still warming up and get no keys for balance.
	Cold bool
}

// leaving reports whether the member gives all its keys away.
func (m Member) leaving() bool { return m.Draining || m.Evacuated }

// minCapacity keeps utilizations finite.
const minCapacity = 0.1

func (m Member) capacity() float64 {
	capacity := float64(m.Slots) * m.Speed
	if m.Limited {
		capacity = min(capacity, m.MaxLoad)
	}
	return max(minCapacity, capacity)
}
