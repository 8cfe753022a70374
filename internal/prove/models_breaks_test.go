package prove

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// TestModelsFindBreaks guards against models that accept everything, and against checks
// that miss what porcupine finds: both must find each broken history.
func TestModelsFindBreaks(t *testing.T) {
	requests := []request{answered("1", "a", 1, 0, 10), answered("2", "a", 1, 20, 30), answered("3", "b", 2, 25, 50)}
	executions := []execution{started("1", "a", 1, 5), started("2", "a", 1, 25), started("3", "b", 2, 45)}
	refused := request{id: "2", key: "k", method: "echo", answers: []answer{{call: at(20), end: at(30), verdict: notRun}}}
	retried := answered("1", "a", 1, 0, 10)
	retried.answers = append([]answer{{call: at(0), end: at(4), verdict: maybe}}, retried.answers...)
	repeated := answered("2", "a", 1, 20, 30)
	repeated.answers = append(repeated.answers, answer{call: at(31), end: at(40), verdict: ran, repeated: true, body: true, instance: "b", epoch: 2, id: "2", payload: "p2"})
	log := []change{{version: 1}, {version: 2, token: 1}, {version: 3, token: 2}}
	made := []edit{{call: at(0), end: at(10), token: 1, expected: 1, version: 2, outcome: ran},
		{call: at(5), end: at(20), token: 2, expected: 2, version: 3, outcome: ran}}
	unknown := edit{call: at(0), end: at(1), token: 1, expected: 1, outcome: maybe}
	owners := func(list ...request) [2][]string {
		return [2][]string{checkEpochs(list), checkOwnerHistory(list, historyLimit)}
	}
	once := func(list []request, runs []execution) [2][]string {
		exact := slices.Concat(checkOnce(runs), checkNotRun(list, runs), checkAnswers(list, runs))
		return [2][]string{exact, checkOnceHistory(list, runs, historyLimit)}
	}
	entry := func(log []change, edits ...edit) [2][]string {
		return [2][]string{checkRegister(log, edits), checkEntryHistory(log, edits, historyLimit)}
	}
	for name, bad := range map[string][2][]string{
		"answer of an earlier epoch":         owners(append([]request{answered("4", "a", 1, 51, 60)}, requests...)...),
		"epoch of two instances":             owners(append([]request{answered("4", "c", 2, 26, 49)}, requests...)...),
		"run twice":                          once(requests, append([]execution{started("1", "b", 2, 50)}, executions...)),
		"run twice in one epoch":             once(requests, append([]execution{started("1", "a", 1, 6)}, executions...)),
		"ran after not run":                  once([]request{refused}, executions),
		"answer without a run":               once(requests, executions[:2]),
		"wrong owner in the answer":          once([]request{answered("1", "b", 1, 0, 10)}, executions),
		"wrong epoch in the answer":          once([]request{answered("1", "a", 2, 0, 10)}, executions),
		"confirmed edit lost":                entry(log[:2], made...),
		"refused edit made":                  entry(log[:2], edit{call: at(0), end: at(1), token: 1, expected: 1, outcome: notRun}),
		"edit of an old version":             entry(log, made[0], edit{call: at(5), end: at(20), token: 2, expected: 1, version: 3, outcome: ran}),
		"edit of an old version, unknown":    entry(log, made[0], edit{call: at(5), end: at(20), token: 2, expected: 1, outcome: maybe}),
		"edit made twice, unknown":           entry([]change{log[0], log[1], {version: 3, token: 1}}, unknown),
		"edit that nobody made":              entry(log, made[0]),
		"edit confirmed as another version":  entry(log[:2], edit{call: at(0), end: at(1), token: 1, expected: 1, version: 3, outcome: ran}),
		"lost race against an old version":   entry(log, append([]edit{{call: at(30), end: at(40), token: 5, expected: 1, version: 1, outcome: conflict}}, made...)...),
		"lost race against a later version":  entry(log, append([]edit{{call: at(-9), end: at(-1), token: 5, expected: 1, version: 3, outcome: conflict}}, made...)...),
		"lost race against the expected one": entry(log, append([]edit{{call: at(0), end: at(40), token: 5, expected: 2, version: 2, outcome: conflict}}, made...)...),
		"edits out of order":                 entry(log, edit{call: at(30), end: at(40), token: 1, expected: 1, version: 2, outcome: ran}, made[1]),
	} {
		if len(bad[0]) == 0 || len(bad[1]) == 0 {
			t.Errorf("%s: the checks found %q, porcupine %q", name, bad[0], bad[1])
		}
	}
	for name, bad := range map[string][2][]string{
		"owners":             owners(requests...),
		"ids":                once(append(requests[1:3:3], retried, repeated), executions),
		"edits":              entry(log, made...),
		"unknown, made":      entry(log, unknown, made[1]),
		"unknown, not made":  entry(log[:1], unknown),
		"unknown, made late": entry(log[:2], unknown, edit{call: at(5), end: at(9), token: 9, expected: 7, version: 1, outcome: conflict}),
		"lost race":          entry(log, append([]edit{{call: at(5), end: at(15), token: 5, expected: 1, version: 2, outcome: conflict}}, made...)...),
	} {
		if len(bad[0])+len(bad[1]) > 0 {
			t.Errorf("%s: the checks found %q, porcupine %q in a valid history", name, bad[0], bad[1])
		}
	}
}

// TestModelsAgree guards against differences between the exact checks and porcupine, with
// short histories at random.
func TestModelsAgree(t *testing.T) {
	valid := [2]int{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var list []request
		for range 5 {
			call := rng.IntN(40)
			list = append(list, answered("1", string(rune('a'+rng.IntN(2))), uint64(1+rng.IntN(2)), call, call+rng.IntN(20)))
		}
		exact, searched := checkEpochs(list), checkOwnerHistory(list, historyLimit)
		if (len(exact) == 0) != (len(searched) == 0) {
			t.Fatalf("seed %d: checkEpochs found %q, porcupine %q in %+v", seed, exact, searched, list)
		}
		log := []change{{version: 1}, {version: 2, token: 1}, {version: 3, token: 2}}[:1+rng.IntN(3)]
		var edits []edit
		for token := range uint32(4) {
			call := rng.IntN(30)
			e := edit{call: at(call), end: at(call + rng.IntN(30)), token: token + 1, expected: uint64(1 + rng.IntN(3)),
				outcome: []string{ran, notRun, maybe, conflict}[rng.IntN(4)]}
			if token < 2 && rng.IntN(4) > 0 { // most histories at random are broken
				e.expected, e.outcome = uint64(token+1), []string{ran, maybe}[rng.IntN(2)]
			}
			switch e.outcome {
			case ran:
				e.version = uint64(token + 2)
			case conflict:
				e.version = uint64(1 + rng.IntN(3))
			}
			edits = append(edits, e)
		}
		exactEdits, searchedEdits := checkRegister(log, edits), checkEntryHistory(log, edits, historyLimit)
		if (len(exactEdits) == 0) != (len(searchedEdits) == 0) {
			t.Fatalf("seed %d: checkRegister found %q, porcupine %q in %v, %+v", seed, exactEdits, searchedEdits, log, edits)
		}
		for i, bad := range [][]string{exact, exactEdits} {
			if len(bad) == 0 {
				valid[i]++
			}
		}
	}
	t.Logf("valid of 2000: %d of owners, %d of edits", valid[0], valid[1])
	for _, n := range valid {
		if n < 20 || n > 1980 {
			t.Errorf("%d of 2000 histories are valid: the comparison says little", n)
		}
	}
}

// TestUndecidedHistoryFails guards against a search that runs out of time and counts as a
// pass.
func TestUndecidedHistoryFails(t *testing.T) {
	blocked := porcupine.Model{
		Init: func() any { return 0 },
		StepContext: func(ctx context.Context, _, _, _ any) (bool, any) {
			<-ctx.Done()
			return false, nil
		},
	}
	if bad := checkHistory("blocked", blocked, []porcupine.Operation{{Return: 1}}, time.Millisecond); len(bad) != 1 {
		t.Errorf("found %q", bad)
	}
}
