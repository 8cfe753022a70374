package prove

import (
	"testing"
	"time"

	"github.com/basilway/basilway/internal/backendsim"
)

var (
	answerBreaks = []string{"run twice", "ran after not run", "other caller's answer", "answer without a run", "wrong owner in the answer"}
	ownerBreaks  = []string{"owners overlap", "epoch of two instances", "answer of an earlier epoch"}
	feedBreaks   = []string{"version with two contents", "version goes back"}
	editBreaks   = []string{"confirmed edit lost", "refused edit made", "edit of an old version", "lost race against an old version"}
)

// breaksOf returns the deliberate breaks, shown by TestChecksFindBreaks, that the checks
// of a scenario catch.
func breaksOf(failure string) (out []string) {
	if failure == operatorRace {
		return append(append(out, feedBreaks...), editBreaks...)
	}
	return append(append(append(out, answerBreaks...), ownerBreaks...), feedBreaks...)
}

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func started(id, server string, epoch uint64, ms int) execution {
	return execution{server: server, Execution: backendsim.Execution{RequestID: id, Key: "k", Method: "echo",
		Instance: server, Epoch: epoch, StartedUS: at(ms).UnixMicro()}}
}

func answered(id, server string, epoch uint64, call, end int) request {
	return request{id: id, key: "k", method: "echo", payload: "p" + id, answers: []answer{{call: at(call), end: at(end),
		verdict: ran, instance: server, epoch: epoch, body: true, payload: "p" + id, id: id}}}
}

// TestChecksFindBreaks guards against checks that accept everything: each is given a
// history with one violation, and one without any.
func TestChecksFindBreaks(t *testing.T) {
	requests := []request{answered("1", "a", 1, 0, 10), answered("2", "a", 1, 20, 30), answered("3", "b", 2, 25, 50)}
	executions := []execution{started("1", "a", 1, 5), started("2", "a", 1, 25), started("3", "b", 2, 45)}
	refused := request{id: "2", key: "k", method: "echo", answers: []answer{{verdict: notRun}}}
	foreign := answered("2", "a", 1, 20, 30)
	foreign.answers[0].payload = "p1"
	log := []change{{version: 1}, {version: 2, token: 1}, {version: 3, token: 2}}
	made := []edit{{call: at(0), end: at(10), token: 1, expected: 1, version: 2, outcome: ran},
		{call: at(5), end: at(20), token: 2, expected: 2, version: 3, outcome: ran},
		{call: at(5), end: at(15), token: 3, expected: 1, version: 2, outcome: conflict},
		{call: at(5), end: at(15), token: 4, expected: 1, outcome: maybe}}
	feed := []sample{{process: "a", version: 1, content: "x"}, {process: "b", version: 1, content: "x"}, {process: "a", version: 2, content: "y"}}
	for name, bad := range map[string][]string{
		"run twice":                        checkOnce(append([]execution{started("1", "b", 2, 50)}, executions...)),
		"ran after not run":                checkNotRun([]request{refused}, executions),
		"other caller's answer":            checkAnswers([]request{foreign}, executions),
		"answer without a run":             checkAnswers(requests, executions[:2]),
		"wrong owner in the answer":        checkAnswers([]request{answered("1", "b", 1, 0, 10)}, executions),
		"owners overlap":                   checkOwners(append([]execution{started("4", "a", 1, 46)}, executions...)),
		"epoch of two instances":           checkOwners(append([]execution{started("4", "c", 2, 47)}, executions...)),
		"answer of an earlier epoch":       checkEpochs(append([]request{answered("4", "a", 1, 51, 60)}, requests...)),
		"version with two contents":        checkFeed(append([]sample{{process: "c", version: 2, content: "z"}}, feed...)),
		"version goes back":                checkFeed(append(feed[:3:3], sample{process: "a", version: 1, content: "x"})),
		"confirmed edit lost":              checkRegister(log[:2], made[:2]),
		"refused edit made":                checkRegister(log[:2], []edit{{call: at(0), end: at(1), token: 1, expected: 1, outcome: notRun}}),
		"edit of an old version":           checkRegister(log, []edit{made[0], {call: at(5), end: at(20), token: 2, expected: 1, version: 3, outcome: ran}}),
		"lost race against an old version": checkRegister(log, append([]edit{{call: at(30), end: at(40), token: 5, expected: 1, version: 1, outcome: conflict}}, made...)),
		"edits out of order":               checkRegister(log, []edit{{call: at(30), end: at(40), token: 1, expected: 1, version: 2, outcome: ran}, made[1]}),
	} {
		if len(bad) == 0 {
			t.Errorf("%s: not found", name)
		}
	}
	for name, bad := range map[string][]string{
		"once": checkOnce(executions), "not run": checkNotRun(requests, executions), "answers": checkAnswers(requests, executions),
		"owners": checkOwners(executions), "epochs": checkEpochs(requests), "feed": checkFeed(feed), "register": checkRegister(log, made),
	} {
		if len(bad) > 0 {
			t.Errorf("%s: found %v in a valid history", name, bad)
		}
	}
}
