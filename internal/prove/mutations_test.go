package prove

import (
	"testing"
	"time"

	"github.com/basilway/basilway/internal/backendsim"
)

var (
	responseMutations = []string{"run twice", "ran after not run", "response to another request", "response without an execution", "response with the wrong owner"}
	ownerMutations    = []string{"owners overlap", "epoch with two owners", "response from an earlier epoch"}
	feedMutations     = []string{"version with two contents", "version decreases"}
	editMutations     = []string{"confirmed edit lost", "refused edit applied", "edit applied to an old version", "conflict with an old version"}
)

// mutationsOf returns the mutations of histories that the checks of a scenario detect, as
// TestChecksDetectMutations shows.
func mutationsOf(failure string) (out []string) {
	if failure == operatorRace {
		return append(append(out, feedMutations...), editMutations...)
	}
	return append(append(append(out, responseMutations...), ownerMutations...), feedMutations...)
}

func atMillis(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// executionAt returns an execution of key k that started ms milliseconds after the Unix epoch.
func executionAt(id, server string, epoch uint64, ms int) execution {
	return execution{server: server, Execution: backendsim.Execution{RequestID: id, Key: "k", Method: "echo",
		Instance: server, Epoch: epoch, StartedUS: atMillis(ms).UnixMicro()}}
}

// respondedRequest returns a request that server answered in one attempt.
func respondedRequest(id, server string, epoch uint64, startedMS, endedMS int) request {
	return request{id: id, key: "k", method: "echo", payload: "p" + id, attempts: []attempt{{started: atMillis(startedMS), ended: atMillis(endedMS),
		verdict: ran, instance: server, epoch: epoch, hasPayload: true, payload: "p" + id, id: id}}}
}

// TestChecksDetectMutations guards against checks that accept everything: each check gets
// histories with one violation, and one without any.
func TestChecksDetectMutations(t *testing.T) {
	requests := []request{respondedRequest("1", "a", 1, 0, 10), respondedRequest("2", "a", 1, 20, 30), respondedRequest("3", "b", 2, 25, 50)}
	executions := []execution{executionAt("1", "a", 1, 5), executionAt("2", "a", 1, 25), executionAt("3", "b", 2, 45)}
	refused := request{id: "2", key: "k", method: "echo", attempts: []attempt{{verdict: notRun}}}
	mismatched := respondedRequest("2", "a", 1, 20, 30)
	mismatched.attempts[0].payload = "p1"
	log := []change{{version: 1}, {version: 2, token: 1}, {version: 3, token: 2}}
	applied := []edit{{started: atMillis(0), ended: atMillis(10), token: 1, expected: 1, version: 2, outcome: ran},
		{started: atMillis(5), ended: atMillis(20), token: 2, expected: 2, version: 3, outcome: ran},
		{started: atMillis(5), ended: atMillis(15), token: 3, expected: 1, version: 2, outcome: conflict},
		{started: atMillis(5), ended: atMillis(15), token: 4, expected: 1, outcome: mayHaveRun}}
	feed := []sample{{process: "a", version: 1, content: "x"}, {process: "b", version: 1, content: "x"}, {process: "a", version: 2, content: "y"}}
	for name, bad := range map[string][]string{
		"run twice":                      checkAtMostOnce(append([]execution{executionAt("1", "b", 2, 50)}, executions...)),
		"ran after not run":              checkNotRun([]request{refused}, executions),
		"response to another request":    checkResponses([]request{mismatched}, executions),
		"response without an execution":  checkResponses(requests, executions[:2]),
		"response with the wrong owner":  checkResponses([]request{respondedRequest("1", "b", 1, 0, 10)}, executions),
		"owners overlap":                 checkOwnership(append([]execution{executionAt("4", "a", 1, 46)}, executions...)),
		"epoch with two owners":          checkOwnership(append([]execution{executionAt("4", "c", 2, 47)}, executions...)),
		"response from an earlier epoch": checkResponseEpochs(append([]request{respondedRequest("4", "a", 1, 51, 60)}, requests...)),
		"version with two contents":      checkFeed(append([]sample{{process: "c", version: 2, content: "z"}}, feed...)),
		"version decreases":              checkFeed(append(feed[:3:3], sample{process: "a", version: 1, content: "x"})),
		"confirmed edit lost":            checkRegister(log[:2], applied[:2]),
		"refused edit applied":           checkRegister(log[:2], []edit{{started: atMillis(0), ended: atMillis(1), token: 1, expected: 1, outcome: notRun}}),
		"edit applied to an old version": checkRegister(log, []edit{applied[0], {started: atMillis(5), ended: atMillis(20), token: 2, expected: 1, version: 3, outcome: ran}}),
		"conflict with an old version":   checkRegister(log, append([]edit{{started: atMillis(30), ended: atMillis(40), token: 5, expected: 1, version: 1, outcome: conflict}}, applied...)),
		"edits out of order":             checkRegister(log, []edit{{started: atMillis(30), ended: atMillis(40), token: 1, expected: 1, version: 2, outcome: ran}, applied[1]}),
	} {
		if len(bad) == 0 {
			t.Errorf("%s: not detected", name)
		}
	}
	for name, bad := range map[string][]string{
		"once": checkAtMostOnce(executions), "not run": checkNotRun(requests, executions), "answers": checkResponses(requests, executions),
		"owners": checkOwnership(executions), "epochs": checkResponseEpochs(requests), "feed": checkFeed(feed), "register": checkRegister(log, applied),
	} {
		if len(bad) > 0 {
			t.Errorf("%s: reported %v in a valid history", name, bad)
		}
	}
}
