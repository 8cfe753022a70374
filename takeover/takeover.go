// Package takeover decides whether a node replaces a planner that renews its lease but accepts no
// reports. It does no I/O and reads no clock: it takes what the node and some other nodes observed.
//
// A failed report alone does not tell whether the planner or the node's own link is at fault. The
// node therefore asks random other nodes, the witnesses, when the planner last accepted a report of
// theirs.
package takeover

import "time"

// Config holds the parameters of a decision.
type Config struct {
	// MinMembers is the size of the smallest cluster in which the rule applies. In a smaller one a
	// few witnesses are not independent of the asking node's own fault.
	MinMembers int
	// Witnesses is the number of nodes that are asked.
	Witnesses int
	// MinSilent is the least number of witnesses that get no reports accepted.
	MinSilent int
	// MinAnswerShare is the least share of the witnesses that answer. A node that is cut off
	// together with a few others gets answers from these only, and the planner may be reachable for
	// everyone else.
	MinAnswerShare float64
	// SilentAfter is the time without an accepted report after which the planner counts as silent.
	// It exceeds the time between two reports and the timeout of one.
	SilentAfter time.Duration
	// Pause is the time after a change of the planner in which this rule replaces nobody, so that
	// nodes learn of the new planner and report to it.
	Pause time.Duration
}

// DefaultConfig returns the configuration for a mean time between two reports of a node.
//
// A third of the nodes that is cut off gets answers from a third of the witnesses and never takes the
// role if all other nodes, or equal numbers in three availability zones, are asked. With 8 random
// witnesses it could by chance.
func DefaultConfig(reportInterval time.Duration) Config {
	return Config{
		MinMembers: 8, Witnesses: 24, MinSilent: 3, MinAnswerShare: 0.6,
		SilentAfter: max(1500*time.Millisecond, 2*reportInterval), Pause: 5 * time.Second,
	}
}

// State is what the asking node knows.
type State struct {
	// Members is the number of members of the cluster.
	Members int
	// Planner is the version of the row that names the planner, and Known the time since this node
	// first saw it.
	Planner uint64
	Known   time.Duration
	// StoreLost is set if the store did not answer this node itself. The node asks the store last,
	// because its calls are priced.
	StoreLost bool
}

// Answer is what a witness knows.
type Answer struct {
	// Planner is the version of the row that names the planner, and Known the time since the
	// witness first saw it.
	Planner uint64
	Known   time.Duration
	// Accepted is set if this planner accepted a report of the witness, and Silent the time since the
	// last one.
	Accepted bool
	Silent   time.Duration
}

// Outcome is the result of a decision.
type Outcome uint8

// Outcomes. All but Take leave the planner as it is.
const (
	// Take means that the node takes the planner role.
	Take Outcome = iota
	// SmallCluster means that the cluster has too few members for this rule.
	SmallCluster
	// RecentPlanner means that the planner changed within the pause.
	RecentPlanner
	// NewerPlanner means that a witness knows of a newer planner.
	NewerPlanner
	// FewAnswers means that too few witnesses answered, for which the node's own link may be the cause.
	FewAnswers
	// PlannerReached means that not most of the witnesses find the planner silent.
	PlannerReached
	// StoreNotReached means that the node could not plan either.
	StoreNotReached
)

var outcomeNames = [...]string{"take", "small cluster", "recent planner", "newer planner", "few answers", "planner reached", "store not reached"}

// String returns a name for logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Decision is an outcome with the answers that it is based on.
type Decision struct {
	Outcome Outcome
	// Asked is the number of witnesses; Silent, Reached and Unknown count their answers.
	Asked, Silent, Reached, Unknown int
}

// Precheck returns Take if the node may ask witnesses.
func (c Config) Precheck(s State) Outcome {
	switch {
	case s.Members < c.MinMembers:
		return SmallCluster
	case s.Known < c.Pause:
		return RecentPlanner
	}
	return Take
}

// Decide returns the decision of a node whose own reports the planner does not accept, once it asked a
// number of witnesses and got some answers.
func (c Config) Decide(s State, asked int, answers []Answer) Decision {
	d := Decision{Outcome: c.Precheck(s), Asked: asked}
	newer := false
	for _, a := range answers {
		newer = newer || a.Planner > s.Planner
		switch {
		case a.Planner != s.Planner:
			d.Unknown++
		case a.Accepted && a.Silent < c.SilentAfter:
			d.Reached++
		case !a.Accepted && a.Known < c.SilentAfter:
			// It has just started, or learned of the planner a moment ago.
			d.Unknown++
		default:
			d.Silent++
		}
	}
	switch {
	case d.Outcome != Take:
	case newer:
		d.Outcome = NewerPlanner
	case len(answers) < c.MinSilent || float64(len(answers)) < c.MinAnswerShare*float64(asked):
		d.Outcome = FewAnswers
	case d.Silent < c.MinSilent || 2*d.Silent <= len(answers):
		d.Outcome = PlannerReached
	case s.StoreLost:
		d.Outcome = StoreNotReached
	}
	return d
}
