package planner

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// Config configures Plan. Shares are relative to the mean load of a service's members
// for each slot, so 1.18 means 18 % more than the mean.
type Config struct {
	// RangesPerMember is the number of ranges of a service for each member. More
	// ranges balance finer; each adds about 100 bytes to the state of every daemon.
	RangesPerMember int
	// Trigger is the load above which a member gives units away, and Settle the load
	// down to which it does. The distance between them is the hysteresis: a lower
	// Trigger balances better and moves more keys.
	Trigger, Settle float64
	// Surge is the load above which a member gives units away at once. Below it the
	// load must be over Trigger over LoadConfig.Lasting too, so noise moves nothing.
	Surge float64
	// Ceiling is the highest load to which a move may bring its target.
	Ceiling float64
	// Low is the load below which a member is filled up, to the middle between Low
	// and the mean.
	Low float64
	// MinExcess is the least excess, as a share of a member's slots, for which units
	// are moved. It keeps an almost idle service still.
	MinExcess float64
	// Idle is the mean load for each slot under which a service counts as idle: units
	// are then moved to members that own few keys. A higher value moves keys for less.
	Idle float64
	// MoveCost is the price of a move and KeyCost the price of moving 1/n of the keys
	// in a service of n members, in the unit of gain: the share of the mean load of a
	// member by which the excess falls. A move must gain more than it costs.
	MoveCost, KeyCost float64
	// KeyOverGain is the least gain for which a single key is moved to a member that is
	// over the ceiling with it. A low value moves keys to and fro.
	KeyOverGain float64
	// OpenMoves is the bound on open moves of a service as a share of its members;
	// at least MinOpenMoves are allowed.
	OpenMoves    float64
	MinOpenMoves int
	// UrgentMoves bounds the open moves of a service that empty draining members and
	// members whose backend server is down.
	UrgentMoves int
	// IsolateShare is the least load of a key that is isolated, and ClearShare the
	// load under which an isolated key returns to its range.
	IsolateShare, ClearShare float64
	// HeavyShare is the least load of a key that is isolated before its member is over
	// Trigger, in services of up to 64 members.
	HeavyShare float64
	// MaxHotKeys bounds the isolated keys of a service for each member.
	MaxHotKeys int
	// SplitShare is the load over which a range is split, and MergeShare the load
	// under which two neighbours with the same owner are merged.
	SplitShare, MergeShare float64
	// Splits and Merges bound the splits and merges of a service in one plan.
	Splits, Merges int
	// WarmUp is the time over which the load allowed to a new member grows from
	// WarmStart to the mean. It should cover a backend server's cold start.
	WarmUp    time.Duration
	WarmStart float64
	// MoveTimeout is the time after which an open move that its owner did not release
	// is cancelled. It must exceed the longest request deadline.
	MoveTimeout time.Duration
	// ZoneLost is the share of an availability zone's members that must be lost for
	// the zone's other members to get no units of the lost ones.
	ZoneLost float64
}

// DefaultConfig returns the configuration used by basilwayd.
func DefaultConfig() Config {
	return Config{
		RangesPerMember: 8,
		Trigger:         1.18, Settle: 1.10, Surge: 1.3, Ceiling: 1.10, Low: 0.7, MinExcess: 0.01, Idle: 0.01,
		MoveCost: 0.005, KeyCost: 0.1, KeyOverGain: 0.05,
		OpenMoves: 0.125, MinOpenMoves: 6, UrgentMoves: 4096,
		IsolateShare: 0.06, ClearShare: 0.03, HeavyShare: 0.25, MaxHotKeys: 8,
		SplitShare: 0.3, MergeShare: 0.05, Splits: 64, Merges: 64,
		WarmUp: 30 * time.Second, WarmStart: 0.2,
		MoveTimeout: 60 * time.Second, ZoneLost: 0.5,
	}
}

// Losses are the sessions that the caller's transaction fences.
type Losses struct {
	// Fenced are the sessions whose leases ended.
	Fenced []cluster.Session
	// FloorMS is the floor of their units in Unix ms, see cluster.Ownership.
	FloorMS int64
}
