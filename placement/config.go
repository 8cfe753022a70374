// Package placement decides which backend server owns which keys, and to which backend
// server of a service without key ownership a request goes. It is pure.
package placement

import "time"

// Config tunes Plan.
type Config struct {
	// IdleCost is the load, in slots for each slot of the service, that is spread evenly
	// over the key space in addition to the measured load, so that keys without requests
	// are divided evenly too.
	IdleCost float64
	// Trigger is how far the utilization of a member may be over the mean before keys
	// are moved away, and Settle how far it may be after the moves. Utilization is load
	// for each slot of nominal speed.
	Trigger, Settle float64
	// Busy is the utilization under which no keys are moved for balance.
	Busy float64
	// Full is the utilization from which a member gets nothing for balance: its slots are
	// busy, so that moves between full members serve nobody more.
	Full float64
	// MaxMoves bounds the moves for balance that a plan adds, and MaxOpen those that are
	// open; both grow with the members, as MovesPerMember and OpenPerMember say.
	MaxMoves, MaxOpen             int
	MovesPerMember, OpenPerMember float64
	// HeavyGain is by how much the capacity of a member must exceed that of the owner of a
	// key that fills it for the key to be moved there.
	HeavyGain float64
	// MinGain is the least load in slots that a move for balance shifts.
	MinGain float64
	// Window is the time constant of the load estimate. A short one follows hot keys
	// sooner and takes noise for load.
	Window time.Duration
	// SlowWindow is the time constant of a second estimate with less noise, which evens
	// out lasting differences; SlowTrigger and SlowSettle are its Trigger and Settle.
	SlowWindow              time.Duration
	SlowTrigger, SlowSettle float64
}

// DefaultConfig returns the configuration of the daemon.
func DefaultConfig() Config {
	return Config{
		IdleCost: 0.05, Trigger: 0.18, Settle: 0.06, Busy: 0.45, Full: 1,
		MaxMoves: 12, MaxOpen: 24, MovesPerMember: 0.2, OpenPerMember: 0.4, HeavyGain: 1.25, MinGain: 0.15, Window: 1500 * time.Millisecond,
		SlowWindow: 6 * time.Second, SlowTrigger: 0.07, SlowSettle: 0.03,
	}
}
