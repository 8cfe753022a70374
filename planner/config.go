package planner

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// Config configures Plan. Unless a field says otherwise, loads are relative to the mean
// load per slot of a service's members: 1.18 means 18 % above the mean.
type Config struct {
	// RangesPerMember is the number of ranges that a service has per member. More ranges
	// balance more finely; each adds about 100 bytes to the state of every daemon.
	RangesPerMember int
	// Trigger is the load above which a member gives units away, and Settle the load
	// at which it stops. The gap between them is the hysteresis: a lower Trigger
	// balances better and moves more keys.
	Trigger, Settle float64
	// ImmediateTrigger is the load above which a member gives units away at once. Below
	// it, the slow load estimate must exceed Trigger too, so noise starts no moves; see
	// LoadConfig.Slow.
	ImmediateTrigger float64
	// Ceiling is the highest load to which a move may bring its target.
	Ceiling float64
	// FillThreshold is the load below which a member gets more units, up to the middle
	// between FillThreshold and the mean.
	FillThreshold float64
	// MinExcess is the smallest excess, as a share of a member's slots, for which units
	// are moved. It prevents moves in an almost idle service.
	MinExcess float64
	// IdleLoad is the absolute mean load per slot below which a service counts as idle:
	// units are then moved to members that own few keys. A higher value moves more keys
	// for less benefit.
	IdleLoad float64
	// MoveCost is the cost of a move and KeyCost the cost of moving 1/n of the keys in a
	// service of n members. Their unit is that of the gain: the reduction of the excess as
	// a share of a member's mean load. A move must gain more than it costs.
	MoveCost, KeyCost float64
	// MinKeyGain is the smallest gain for which a single key is moved to a member that it
	// brings above Ceiling, or is isolated early. A low value moves keys back and forth.
	MinKeyGain float64
	// MaxOpenMoveShare limits the open moves of a service, as a share of its members.
	// The limit is at least MinOpenMoveLimit.
	MaxOpenMoveShare float64
	MinOpenMoveLimit int
	// MaxUrgentMoves limits the open moves of a service away from members that are
	// draining or whose backend server is down.
	MaxUrgentMoves int
	// IsolateShare is the smallest load of a key that is isolated, and ClearShare the
	// load at which an isolated key returns to its range. These, EarlyIsolateShare,
	// SplitShare and MergeShare are relative to the mean load of a member.
	IsolateShare, ClearShare float64
	// EarlyIsolateShare is the smallest load of a key that is isolated before its member
	// is above Trigger, in services of up to 64 members.
	EarlyIsolateShare float64
	// MaxHotKeys limits the isolated keys of a service, per member.
	MaxHotKeys int
	// SplitShare is the load above which a range is split, and MergeShare the load below
	// which two adjacent ranges of the same owner are merged.
	SplitShare, MergeShare float64
	// MaxSplits and MaxMerges limit the splits and merges of a service in one plan.
	MaxSplits, MaxMerges int
	// WarmUp is the time over which the load allowed to a new member grows from
	// WarmUpStart to the mean. It should cover a backend server's cold start.
	WarmUp      time.Duration
	WarmUpStart float64
	// MoveTimeout is the time after which an open move is cancelled if the owner has not
	// released the unit. It must exceed the longest request deadline.
	MoveTimeout time.Duration
	// ZoneLostShare is the share of an availability zone's members whose loss makes the
	// zone count as lost. The other members of a lost zone get no units without an owner
	// and no units of leaving members while a member of another zone can take them.
	ZoneLostShare float64
}

// DefaultConfig returns the configuration used by basilwayd.
func DefaultConfig() Config {
	return Config{
		RangesPerMember: 8,
		Trigger:         1.18, Settle: 1.10, ImmediateTrigger: 1.3, Ceiling: 1.10, FillThreshold: 0.7, MinExcess: 0.01, IdleLoad: 0.01,
		MoveCost: 0.005, KeyCost: 0.1, MinKeyGain: 0.05,
		MaxOpenMoveShare: 0.125, MinOpenMoveLimit: 6, MaxUrgentMoves: 4096,
		IsolateShare: 0.06, ClearShare: 0.03, EarlyIsolateShare: 0.25, MaxHotKeys: 8,
		SplitShare: 0.3, MergeShare: 0.05, MaxSplits: 64, MaxMerges: 64,
		WarmUp: 30 * time.Second, WarmUpStart: 0.2,
		MoveTimeout: 60 * time.Second, ZoneLostShare: 0.5,
	}
}

// Losses are the sessions that the caller's transaction fences.
type Losses struct {
	// Fenced are the sessions whose leases ended.
	Fenced []cluster.Session
	// FloorMS is the Ownership.FloorMS that their units get, in Unix milliseconds.
	FloorMS int64
}
