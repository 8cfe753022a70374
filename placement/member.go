package placement

import "github.com/basilway/basilway/keyrange"

// Member is a backend server of the service that Plan divides keys over.
type Member struct {
	Owner keyrange.Owner
	Slots int
	// Speed is relative to the mean speed of the service; 1 if it is not known.
	Speed float64
	// Draining members give all their keys away and get none.
	Draining bool
	// Cold members are still warming up and get no keys for balance.
	Cold bool
}

func (m Member) capacity() float64 { return max(0.1, float64(m.Slots)*m.Speed) }
