package prove

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/basilway/basilway/internal/backendsim"
)

// execution is an entry of the execution log of a backend server.
type execution struct {
	backendsim.Execution
	// server names the instance beside which the backend server runs.
	server string
}

// maxLogged bounds the violations of one check that are logged.
const maxLogged = 5

// checkAtMostOnce returns the non-idempotent requests that ran more than once, on any backend
// server.
func checkAtMostOnce(executions []execution) (bad []string) {
	first := map[string]execution{}
	for _, e := range executions {
		if e.Idempotent || e.RequestID == "" {
			continue
		}
		if f, found := first[e.RequestID]; found {
			bad = append(bad, fmt.Sprintf("request %s on %s ran on %s at %d and on %s at %d", e.RequestID, e.Key, f.server, f.StartedUS, e.server, e.StartedUS))
			continue
		}
		first[e.RequestID] = e
	}
	return bad
}

// checkNotRun returns the requests that ran although the verdict of an attempt was "not run".
// For an idempotent request this verdict covers only the one attempt, so that all attempts
// must have it.
func checkNotRun(requests []request, executions []execution) (bad []string) {
	byID := executionsByID(executions)
	for _, r := range requests {
		refused := func(a attempt) bool { return a.verdict == notRun }
		notRunReported := slices.ContainsFunc(r.attempts, refused)
		if r.idempotent {
			notRunReported = notRunReported && !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !refused(a) })
		}
		if runs := byID[r.id]; notRunReported && len(runs) > 0 {
			a := r.attempts[0]
			bad = append(bad, fmt.Sprintf("request %s on %s was reported as not run (%s by %s after %s) but ran on %s at %d",
				r.id, r.key, a.reason, a.daemon, a.ended.Sub(a.started), runs[0].server, runs[0].StartedUS))
		}
	}
	return bad
}

// checkResponses returns the responses that do not match their requests, and the responses to
// requests that did not run or ran elsewhere than the response says.
func checkResponses(requests []request, executions []execution) (bad []string) {
	byID := executionsByID(executions)
	for _, r := range requests {
		for _, a := range r.attempts {
			runs := byID[r.id]
			switch {
			case a.verdict != ran:
			case len(runs) == 0:
				bad = append(bad, fmt.Sprintf("request %s on %s was answered by %s but did not run", r.id, r.key, a.instance))
			case !a.hasPayload:
			case a.id != r.id:
				bad = append(bad, fmt.Sprintf("request %s got the response to %s", r.id, a.id))
			case r.method == "echo" && a.payload != r.payload:
				bad = append(bad, fmt.Sprintf("request %s with payload %s got the response payload %s", r.id, r.payload, a.payload))
			case !r.idempotent && !a.repeated && (runs[0].server != a.instance || runs[0].Epoch != a.epoch):
				bad = append(bad, fmt.Sprintf("request %s was answered by %s in epoch %d and ran on %s in epoch %d",
					r.id, a.instance, a.epoch, runs[0].server, runs[0].Epoch))
			}
		}
	}
	return bad
}

func executionsByID(executions []execution) map[string][]execution {
	byID := map[string][]execution{}
	for _, e := range executions {
		byID[e.RequestID] = append(byID[e.RequestID], e)
	}
	return byID
}

// checkOwnership returns violations of exclusive ownership in the executions of each key.
// Epochs must not decrease over time, so that the executions of two epochs do not overlap,
// and each epoch belongs to one instance.
func checkOwnership(executions []execution) (bad []string) {
	byKey := map[string][]execution{}
	for _, e := range executions {
		byKey[e.Key] = append(byKey[e.Key], e)
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		list := byKey[key]
		slices.SortStableFunc(list, func(a, b execution) int {
			return cmp.Or(cmp.Compare(a.StartedUS, b.StartedUS), cmp.Compare(a.Epoch, b.Epoch))
		})
		owner := map[uint64]string{}
		for i, e := range list {
			if o, found := owner[e.Epoch]; found && (o != e.Instance || o != e.server) {
				bad = append(bad, fmt.Sprintf("key %s: epoch %d belongs to %s and to %s on %s", key, e.Epoch, o, e.Instance, e.server))
			}
			owner[e.Epoch] = e.server
			if i > 0 && e.Epoch < list[i-1].Epoch {
				before := list[i-1]
				bad = append(bad, fmt.Sprintf("key %s: %s ran %s in epoch %d, %d us after %s ran %s in epoch %d", key, e.server,
					e.RequestID, e.Epoch, e.StartedUS-before.StartedUS, before.server, before.RequestID, before.Epoch))
			}
		}
	}
	return bad
}

// checkResponseEpochs treats the responses for each key as reads of a register that holds
// the owner and an epoch that only grows. It is exact: such a history is linearizable if and
// only if each epoch has one owner, and no attempt that ended before another one started has
// a later epoch than it.
func checkResponseEpochs(requests []request) (bad []string) {
	byKey := map[string][]attempt{}
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.hasPayload && !a.repeated {
				byKey[r.key] = append(byKey[r.key], a)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		byEnd := byKey[key]
		byStart := slices.Clone(byEnd)
		slices.SortFunc(byEnd, func(a, b attempt) int { return a.ended.Compare(b.ended) })
		slices.SortFunc(byStart, func(a, b attempt) int { return a.started.Compare(b.started) })
		owner := map[uint64]string{}
		latest, i := attempt{}, 0
		for _, a := range byStart {
			for ; i < len(byEnd) && byEnd[i].ended.Before(a.started); i++ {
				if byEnd[i].epoch > latest.epoch {
					latest = byEnd[i]
				}
			}
			if a.epoch < latest.epoch {
				bad = append(bad, fmt.Sprintf("key %s: %s answered in epoch %d a request sent after %s had answered in epoch %d", key, a.instance, a.epoch, latest.instance, latest.epoch))
			}
			if o, found := owner[a.epoch]; found && o != a.instance {
				bad = append(bad, fmt.Sprintf("key %s: %s and %s answered in epoch %d", key, o, a.instance, a.epoch))
			}
			owner[a.epoch] = a.instance
		}
	}
	return bad
}

// sample is a version of the cluster feed and its content, the assignment, as a daemon process
// reported them at one time.
type sample struct {
	process string
	at      time.Time
	version uint64
	content string
}

// checkFeed returns contradictions between samples: a version must have the same content in
// all processes, and the version in a process must not decrease.
func checkFeed(samples []sample) (bad []string) {
	contents := map[uint64]sample{}
	last := map[string]sample{}
	for _, s := range samples {
		if o, found := contents[s.version]; found && o.content != s.content {
			bad = append(bad, fmt.Sprintf("version %d is %q for %s and %q for %s", s.version, o.content, o.process, s.content, s.process))
		}
		contents[s.version] = s
		if s.version < last[s.process].version {
			bad = append(bad, fmt.Sprintf("%s went from version %d back to %d", s.process, last[s.process].version, s.version))
		}
		last[s.process] = s
	}
	return bad
}

// edit is one compare-and-set of a catalogue entry, with its outcome.
type edit struct {
	started, ended time.Time
	token          uint32
	expected       uint64
	// version is the version that a successful edit created, or the current version that a
	// conflict reported.
	version uint64
	outcome string // one of ran, notRun, mayHaveRun and conflict
}

const conflict = "conflict"

// change is one change of an entry in its history.
type change struct {
	version uint64
	token   uint32
}

// checkRegister returns the edits whose outcomes are impossible for a compare-and-set
// register. log is the entry's history in ascending order, from the version that the first
// edit expects. Each operation gets the earliest linearization point that its start and the
// order of log allow, so that the history is linearizable if and only if no point is after
// the end of its operation.
func checkRegister(log []change, edits []edit) (bad []string) {
	byToken := map[uint32]edit{}
	conflicts := map[uint64][]edit{}
	for _, e := range edits {
		if e.outcome == conflict {
			conflicts[e.version] = append(conflicts[e.version], e)
			continue
		}
		byToken[e.token] = e
	}
	knownVersions := map[uint64]bool{}
	earliest := time.Time{}
	for i, c := range log {
		knownVersions[c.version] = true
		if i > 0 {
			e, found := byToken[c.token]
			delete(byToken, c.token)
			switch {
			case !found:
				bad = append(bad, fmt.Sprintf("version %d has token %d, which no edit wrote or which occurs twice", c.version, c.token))
			case e.outcome == notRun:
				bad = append(bad, fmt.Sprintf("edit %d was reported as not run and is version %d", c.token, c.version))
			case e.expected != log[i-1].version || c.version <= log[i-1].version:
				bad = append(bad, fmt.Sprintf("edit %d expected version %d and replaced version %d by %d", c.token, e.expected, log[i-1].version, c.version))
			case e.outcome == ran && e.version != c.version:
				bad = append(bad, fmt.Sprintf("edit %d was confirmed as version %d and is version %d", c.token, e.version, c.version))
			}
			if e.started.After(earliest) {
				earliest = e.started
			}
			if e.outcome == ran && earliest.After(e.ended) {
				bad = append(bad, fmt.Sprintf("edit %d ended before the start of an edit or conflict that precedes it", c.token))
			}
		}
		next := earliest
		for _, e := range conflicts[c.version] {
			at := earliest
			if e.started.After(at) {
				at = e.started
			}
			if at.After(e.ended) || e.expected == c.version {
				bad = append(bad, fmt.Sprintf("edit %d conflicted with version %d, which was not current or was the expected one", e.token, c.version))
			}
			if at.After(next) {
				next = at
			}
		}
		earliest = next
	}
	for token, e := range byToken {
		if e.outcome == ran {
			bad = append(bad, fmt.Sprintf("edit %d was confirmed as version %d and is lost", token, e.version))
		}
	}
	for version := range conflicts {
		if !knownVersions[version] {
			bad = append(bad, fmt.Sprintf("an edit conflicted with version %d, which never existed", version))
		}
	}
	return bad
}

// unavailableTimes returns for each key the time from lostAt to the first successful
// response to a probe sent after it.
func unavailableTimes(requests []request, keys []string, lostAt time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, r := range requests {
		if !r.probe || !slices.Contains(keys, r.key) {
			continue
		}
		for _, a := range r.attempts {
			if a.hasPayload && a.started.After(lostAt) {
				if took, found := out[r.key]; !found || a.ended.Sub(lostAt) < took {
					out[r.key] = a.ended.Sub(lostAt)
				}
			}
		}
	}
	return out
}
