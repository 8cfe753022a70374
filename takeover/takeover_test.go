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
	return State{Members: 20, Planner: planner, Known: time.Minute}
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
		"planner cut off from all":                      {18, answers(18, 0), Take},
		"from most":                                     {18, answers(10, 8), Take},
		"from half":                                     {18, answers(9, 9), PlannerReached},
		"from a minority":                               {18, answers(6, 12), PlannerReached},
		"from the asking node only":                     {18, answers(0, 18), PlannerReached},
		"together with a third of the nodes":            {18, answers(12, 0), Take},
		"asking node in a third that is cut off":        {18, answers(6, 0), FewAnswers},
		"slow planner that accepts reports late":        {18, repeat(reached(1300*time.Millisecond), 18), PlannerReached},
		"slow planner whose reports mostly time out":    {18, append(repeat(reached(1600*time.Millisecond), 12), repeat(reached(1300*time.Millisecond), 6)...), Take},
		"some answers lost":                             {18, answers(11, 0), Take},
		"most answers lost":                             {18, answers(10, 0), FewAnswers},
		"all answers lost":                              {18, nil, FewAnswers},
		"smallest cluster, half of the answers lost":    {6, answers(3, 0), FewAnswers},
		"two witnesses in all":                          {2, answers(2, 0), FewAnswers},
		"two of the witnesses silent, others unknown":   {6, append(answers(2, 0), repeat(started(0), 2)...), PlannerReached},
		"mass restart, nobody reported yet":             {18, repeat(started(time.Second), 18), PlannerReached},
		"mass restart, planner silent since":            {18, repeat(started(2*time.Second), 18), Take},
		"mass restart, some nodes older":                {18, append(answers(6, 0), repeat(started(time.Second), 12)...), PlannerReached},
		"witnesses that do not know of the planner yet": {18, repeat(Answer{Planner: planner - 1, Known: time.Minute, Accepted: true, Silent: time.Minute}, 18), PlannerReached},
		"one witness knows of a newer planner":          {18, append(answers(17, 0), Answer{Planner: planner + 1}), NewerPlanner},
		"half are of an earlier release":                {18, answers(9, 0), FewAnswers},
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
		"store not reached":   {func(s *State) { s.StoreLost = true }, StoreNotReached},
		"planner changed":     {func(s *State) { s.Known = 4900 * time.Millisecond }, RecentPlanner},
		"after the pause":     {func(s *State) { s.Known = 5 * time.Second }, Take},
		"node has just begun": {func(s *State) { s.Known = 0 }, RecentPlanner},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := asking()
			test.change(&s)
			config := DefaultConfig(interval)
			if !s.StoreLost {
				g.Expect(config.Precheck(s)).To(Equal(test.want))
			}
			g.Expect(config.Decide(s, 18, answers(18, 0)).Outcome).To(Equal(test.want))
		})
	}
}

// Guards against a planner of a very large cluster that counts as silent because nodes report less often.
func TestRareReportsAreNotSilence(t *testing.T) {
	g := NewWithT(t)
	config := DefaultConfig(1200 * time.Millisecond)
	g.Expect(config.Decide(asking(), 18, repeat(reached(2300*time.Millisecond), 18)).Outcome).To(Equal(PlannerReached))
	g.Expect(config.Decide(asking(), 18, repeat(reached(2500*time.Millisecond), 18)).Outcome).To(Equal(Take))
}
