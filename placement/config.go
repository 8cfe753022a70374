// Package placement decides which backend server owns which keys, and which backend server
// runs a request of a service without key ownership. It does no I/O and reads no clock.
package placement

import "time"

// Config holds the parameters of Plan. Utilization is load per slot of nominal speed.
type Config struct {
	// BaseLoad is a load, in slots per slot of the service, that is added to the measured
	// load and spread evenly over the key space, so that keys without requests are divided
	// evenly too.
	BaseLoad float64
	// Trigger is how far the utilization of a member may exceed the mean before keys are
	// moved away from it. Target is how far it may exceed the mean after the moves.
	Trigger, Target float64
	// MinUtilization is the utilization below which a member gives no keys away for balance.
	MinUtilization float64
	// FullUtilization is the utilization from which a member gets no keys for balance. All
	// its slots are busy, so moves between full members would not serve more requests.
	FullUtilization float64
	// MaxMoves limits the moves for balance that one plan adds, and MaxOpenMoves the moves
	// that are open at once. In a service with many members the limits are MovesPerMember and
	// OpenMovesPerMember times the number of members that are not draining.
	MaxMoves, MaxOpenMoves             int
	MovesPerMember, OpenMovesPerMember float64
	// MaxEvacuationMoves limits the open moves away from evacuated availability zones. With many
	// members the limit is EvacuationMovesPerMember times the number of members that get keys. A
	// move takes two heartbeats, so there is no time for a second wave of them.
	MaxEvacuationMoves       int
	EvacuationMovesPerMember float64
	// MovesPerSlowed is added to MaxMoves and MaxOpenMoves for each slowed member.
	MovesPerSlowed int
	// HeavyCapacityRatio is the minimum ratio of the capacity of another member to that of
	// the owner of a heavy key at which the key is moved there. A heavy key is one whose load
	// alone exceeds the capacity of its owner.
	HeavyCapacityRatio float64
	// MinMoveLoad is the minimum load, in slots, that a move for balance shifts.
	MinMoveLoad float64
	// MaxSpans is the number of separate spans of a member above which Plan gives its smallest ones to the owners of
	// the keys beside them. A member is told its spans in one message of limited size.
	MaxSpans int
	// Window is the time constant of the load estimate. A shorter one follows hot keys
	// sooner but reacts more to noise.
	Window time.Duration
	// SlowWindow is the time constant of a second, less noisy estimate that corrects smaller
	// but lasting differences. SlowTrigger and SlowTarget are its Trigger and Target.
	SlowWindow              time.Duration
	SlowTrigger, SlowTarget float64
	// BalanceInterval is the shortest time between two plans that move keys for balance.
	BalanceInterval time.Duration
	// UrgentInterval replaces BalanceInterval, and UrgentWarmUp replaces Window as the time for
	// which the load has to be observed first, while the utilization of a member is at least
	// UrgentUtilization and UrgentRatio times the mean. Services with fewer than
	// UrgentMinMembers members are left out: their members are busier on average, and single
	// requests weigh more in their estimates.
	UrgentInterval, UrgentWarmUp   time.Duration
	UrgentUtilization, UrgentRatio float64
	UrgentMinMembers               int
}

// DefaultConfig returns the configuration that the daemon uses.
func DefaultConfig() Config {
	return Config{
		BaseLoad: 0.05, Trigger: 0.18, Target: 0.06, MinUtilization: 0.45, FullUtilization: 1,
		MaxMoves: 12, MaxOpenMoves: 24, MovesPerMember: 0.2, OpenMovesPerMember: 0.4, MovesPerSlowed: 4,
		MaxEvacuationMoves: 64, EvacuationMovesPerMember: 4, HeavyCapacityRatio: 1.25, MinMoveLoad: 0.15, MaxSpans: 40, Window: 1500 * time.Millisecond,
		SlowWindow: 6 * time.Second, SlowTrigger: 0.07, SlowTarget: 0.03,
		BalanceInterval: 900 * time.Millisecond, UrgentInterval: 300 * time.Millisecond, UrgentWarmUp: 500 * time.Millisecond,
		UrgentUtilization: 1.2, UrgentRatio: 1.5, UrgentMinMembers: 10,
	}
}
