package takeover

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	planner  = 40
	interval = 400 * time.Millisecond
)

// asking is the state of a node in a settled cluster of 20.
func asking() State {
	return State{Members: 20, Planner: planner, Known: time.Minute, StoreReached: true}
}

func reached(silent time.Duration) Answer {
	return Answer{Planner: planner, Known: time.Minute, Accepted: true, Silent: silent}
}

func silent() Answer { return reached(2 * time.Second) }

// started is the answer of a node that has just started and got no report accepted.
func started(known time.Duration) Answer { return Answer{Planner: planner, Known: known} }

// answers returns count answers of each kind.
func answers(silentCount, reachedCount int) []Answer {
	var out []Answer
	for range silentCount {
		out = append(out, silent())
	}
	for range reachedCount {
		out = append(out, reached(300*time.Millisecond))
	}
	return out
}

func repeat(a Answer, n int) []Answer {
	var out []Answer
	for range n {
		out = append(out, a)
	}
	return out
}

// Guards against a cluster without planning because the planner renews its lease, and against taking the
// role from a planner that others reach, because of a fault of the asking node or of a few.
func TestDecisionFollowsTheWitnesses(t *testing.T) {
	for name, test := range map[string]struct {
		asked   int
		answers []Answer
		want    Outcome
	}{
		"planner cut off from all":                         {8, answers(8, 0), Take},
		"from most":                                        {8, answers(5, 3), Take},
		"from half":                                        {8, answers(4, 4), PlannerReached},
		"from a minority":                                  {8, answers(3, 5), PlannerReached},
		"from the asking node only":                        {8, answers(0, 8), PlannerReached},
		"slow planner that accepts reports late":           {8, repeat(reached(1300*time.Millisecond), 8), PlannerReached},
		"slow planner whose reports mostly time out":       {8, append(repeat(reached(1600*time.Millisecond), 5), repeat(reached(1300*time.Millisecond), 3)...), Take},
		"some answers lost":                                {8, answers(6, 0), Take},
		"asking node in a minority that is cut off":        {8, answers(5, 0), FewAnswers},
		"most answers lost":                                {8, answers(2, 0), FewAnswers},
		"all answers lost":                                 {8, nil, FewAnswers},
		"two witnesses in all":                             {2, answers(2, 0), FewAnswers},
		"mass restart, nobody reported yet":                {8, repeat(started(time.Second), 8), PlannerReached},
		"mass restart, planner silent since":               {8, repeat(started(2*time.Second), 8), Take},
		"mass restart, two nodes older":                    {8, append(answers(2, 0), repeat(started(time.Second), 6)...), PlannerReached},
		"witnesses that do not know of the planner yet":    {8, repeat(Answer{Planner: planner - 1, Known: time.Minute, Accepted: true, Silent: time.Minute}, 8), PlannerReached},
		"one witness knows of a newer planner":             {8, append(answers(7, 0), Answer{Planner: planner + 1}), NewerPlanner},
		"nodes of an earlier release, which do not answer": {8, answers(4, 0), FewAnswers},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := DefaultConfig(interval).Decide(asking(), test.asked, test.answers)
			g.Expect(d.Outcome).To(Equal(test.want), "%+v", d)
			g.Expect(d.Silent + d.Reached + d.Unknown).To(Equal(len(test.answers)))
		})
	}
}

// Guards against a planner role that changes hands again and again, or goes to a node that cannot plan,
// and against a change of the rule for small clusters.
func TestSomeNodesDoNotTakeTheRole(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *State)
		want   Outcome
	}{
		"settled":             {func(*State) {}, Take},
		"small cluster":       {func(s *State) { s.Members = 7 }, SmallCluster},
		"smallest cluster":    {func(s *State) { s.Members = 8 }, Take},
		"store not reached":   {func(s *State) { s.StoreReached = false }, StoreNotReached},
		"planner changed":     {func(s *State) { s.Known = 4900 * time.Millisecond }, RecentPlanner},
		"after the pause":     {func(s *State) { s.Known = 5 * time.Second }, Take},
		"node has just begun": {func(s *State) { s.Known = 0 }, RecentPlanner},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := asking()
			test.change(&s)
			config := DefaultConfig(interval)
			g.Expect(config.Precheck(s)).To(Equal(test.want))
			g.Expect(config.Decide(s, 8, answers(8, 0)).Outcome).To(Equal(test.want))
		})
	}
}

// Guards against a planner of a very large cluster that counts as silent because nodes report less often.
func TestRareReportsAreNotSilence(t *testing.T) {
	g := NewWithT(t)
	config := DefaultConfig(1200 * time.Millisecond)
	g.Expect(config.Decide(asking(), 8, repeat(reached(2300*time.Millisecond), 8)).Outcome).To(Equal(PlannerReached))
	g.Expect(config.Decide(asking(), 8, repeat(reached(2500*time.Millisecond), 8)).Outcome).To(Equal(Take))
}
