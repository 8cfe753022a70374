package prove

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// TestModelsDetectMutations guards against models that accept everything, and against checks
// that miss what porcupine finds: both must reject each mutated history and accept each
// valid one.
func TestModelsDetectMutations(t *testing.T) {
	requests := []request{respondedRequest("1", "a", 1, 0, 10), respondedRequest("2", "a", 1, 20, 30), respondedRequest("3", "b", 2, 25, 50)}
	executions := []execution{executionAt("1", "a", 1, 5), executionAt("2", "a", 1, 25), executionAt("3", "b", 2, 45)}
	refused := request{id: "2", key: "k", method: "echo", attempts: []attempt{{started: atMillis(20), ended: atMillis(30), verdict: notRun}}}
	retried := respondedRequest("1", "a", 1, 0, 10)
	retried.attempts = append([]attempt{{started: atMillis(0), ended: atMillis(4), verdict: mayHaveRun}}, retried.attempts...)
	repeated := respondedRequest("2", "a", 1, 20, 30)
	repeated.attempts = append(repeated.attempts, attempt{started: atMillis(31), ended: atMillis(40), verdict: ran, repeated: true, hasPayload: true, instance: "b", epoch: 2, id: "2", payload: "p2"})
	log := []change{{version: 1}, {version: 2, token: 1}, {version: 3, token: 2}}
	applied := []edit{{started: atMillis(0), ended: atMillis(10), token: 1, expected: 1, version: 2, outcome: ran},
		{started: atMillis(5), ended: atMillis(20), token: 2, expected: 2, version: 3, outcome: ran}}
	unknown := edit{started: atMillis(0), ended: atMillis(1), token: 1, expected: 1, outcome: mayHaveRun}
	owners := func(list ...request) [2][]string {
		return [2][]string{checkResponseEpochs(list), checkOwnerHistory(list, searchTimeout)}
	}
	atMostOnce := func(list []request, runs []execution) [2][]string {
		exact := slices.Concat(checkAtMostOnce(runs), checkNotRun(list, runs), checkResponses(list, runs))
		return [2][]string{exact, checkAtMostOnceHistory(list, runs, searchTimeout)}
	}
	entry := func(log []change, edits ...edit) [2][]string {
		return [2][]string{checkRegister(log, edits), checkEntryHistory(log, edits, searchTimeout)}
	}
	for name, bad := range map[string][2][]string{
		"response from an earlier epoch":               owners(append([]request{respondedRequest("4", "a", 1, 51, 60)}, requests...)...),
		"epoch with two owners":                        owners(append([]request{respondedRequest("4", "c", 2, 26, 49)}, requests...)...),
		"run twice":                                    atMostOnce(requests, append([]execution{executionAt("1", "b", 2, 50)}, executions...)),
		"run twice in one epoch":                       atMostOnce(requests, append([]execution{executionAt("1", "a", 1, 6)}, executions...)),
		"ran after not run":                            atMostOnce([]request{refused}, executions),
		"response without an execution":                atMostOnce(requests, executions[:2]),
		"response with the wrong owner":                atMostOnce([]request{respondedRequest("1", "b", 1, 0, 10)}, executions),
		"response with the wrong epoch":                atMostOnce([]request{respondedRequest("1", "a", 2, 0, 10)}, executions),
		"confirmed edit lost":                          entry(log[:2], applied...),
		"refused edit applied":                         entry(log[:2], edit{started: atMillis(0), ended: atMillis(1), token: 1, expected: 1, outcome: notRun}),
		"edit applied to an old version":               entry(log, applied[0], edit{started: atMillis(5), ended: atMillis(20), token: 2, expected: 1, version: 3, outcome: ran}),
		"edit with unknown outcome for an old version": entry(log, applied[0], edit{started: atMillis(5), ended: atMillis(20), token: 2, expected: 1, outcome: mayHaveRun}),
		"edit with unknown outcome applied twice":      entry([]change{log[0], log[1], {version: 3, token: 1}}, unknown),
		"change without an edit":                       entry(log, applied[0]),
		"edit confirmed as another version":            entry(log[:2], edit{started: atMillis(0), ended: atMillis(1), token: 1, expected: 1, version: 3, outcome: ran}),
		"conflict with an old version":                 entry(log, append([]edit{{started: atMillis(30), ended: atMillis(40), token: 5, expected: 1, version: 1, outcome: conflict}}, applied...)...),
		"conflict with a later version":                entry(log, append([]edit{{started: atMillis(-9), ended: atMillis(-1), token: 5, expected: 1, version: 3, outcome: conflict}}, applied...)...),
		"conflict with the expected version":           entry(log, append([]edit{{started: atMillis(0), ended: atMillis(40), token: 5, expected: 2, version: 2, outcome: conflict}}, applied...)...),
		"edits out of order":                           entry(log, edit{started: atMillis(30), ended: atMillis(40), token: 1, expected: 1, version: 2, outcome: ran}, applied[1]),
	} {
		if len(bad[0]) == 0 || len(bad[1]) == 0 {
			t.Errorf("%s: the checks found %q, porcupine %q", name, bad[0], bad[1])
		}
	}
	for name, bad := range map[string][2][]string{
		"owners":                        owners(requests...),
		"ids":                           atMostOnce(append(requests[1:3:3], retried, repeated), executions),
		"edits":                         entry(log, applied...),
		"unknown outcome, applied":      entry(log, unknown, applied[1]),
		"unknown outcome, not applied":  entry(log[:1], unknown),
		"unknown outcome, applied late": entry(log[:2], unknown, edit{started: atMillis(5), ended: atMillis(9), token: 9, expected: 7, version: 1, outcome: conflict}),
		"conflict":                      entry(log, append([]edit{{started: atMillis(5), ended: atMillis(15), token: 5, expected: 1, version: 2, outcome: conflict}}, applied...)...),
	} {
		if len(bad[0])+len(bad[1]) > 0 {
			t.Errorf("%s: the checks found %q, porcupine %q in a valid history", name, bad[0], bad[1])
		}
	}
}

// TestModelsAgree guards against differences between the exact checks and porcupine, with
// short random histories.
func TestModelsAgree(t *testing.T) {
	valid := [2]int{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var list []request
		for range 5 {
			call := rng.IntN(40)
			list = append(list, respondedRequest("1", string(rune('a'+rng.IntN(2))), uint64(1+rng.IntN(2)), call, call+rng.IntN(20)))
		}
		exact, searched := checkResponseEpochs(list), checkOwnerHistory(list, searchTimeout)
		if (len(exact) == 0) != (len(searched) == 0) {
			t.Fatalf("seed %d: checkResponseEpochs found %q, porcupine %q in %+v", seed, exact, searched, list)
		}
		log := []change{{version: 1}, {version: 2, token: 1}, {version: 3, token: 2}}[:1+rng.IntN(3)]
		var edits []edit
		for token := range uint32(4) {
			call := rng.IntN(30)
			e := edit{started: atMillis(call), ended: atMillis(call + rng.IntN(30)), token: token + 1, expected: uint64(1 + rng.IntN(3)),
				outcome: []string{ran, notRun, mayHaveRun, conflict}[rng.IntN(4)]}
			if token < 2 && rng.IntN(4) > 0 { // else nearly all histories would be invalid
				e.expected, e.outcome = uint64(token+1), []string{ran, mayHaveRun}[rng.IntN(2)]
			}
			switch e.outcome {
			case ran:
				e.version = uint64(token + 2)
			case conflict:
				e.version = uint64(1 + rng.IntN(3))
			}
			edits = append(edits, e)
		}
		exactEdits, searchedEdits := checkRegister(log, edits), checkEntryHistory(log, edits, searchTimeout)
		if (len(exactEdits) == 0) != (len(searchedEdits) == 0) {
			t.Fatalf("seed %d: checkRegister found %q, porcupine %q in %v, %+v", seed, exactEdits, searchedEdits, log, edits)
		}
		for i, bad := range [][]string{exact, exactEdits} {
			if len(bad) == 0 {
				valid[i]++
			}
		}
	}
	t.Logf("valid of 2000 histories: %d of owners, %d of edits", valid[0], valid[1])
	for _, n := range valid {
		if n < 20 || n > 1980 {
			t.Errorf("%d of 2000 histories are valid, want 20 to 1980 for a meaningful comparison", n)
		}
	}
}

// TestUndecidedHistoryFails guards against a search that times out and counts as a pass.
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
