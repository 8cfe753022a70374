package prove

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/basilway/basilway/internal/backendsim"
)

// execution is an entry of a backend server's log.
type execution struct {
	backendsim.Execution
	// server names the instance beside which the backend server runs.
	server string
}

// maxReported bounds the violations of one check in a message.
const maxReported = 5

// checkOnce returns the ids of non-idempotent requests that ran more than once anywhere.
func checkOnce(executions []execution) (bad []string) {
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

// checkNotRun returns the requests that ran although an answer was "not run". Such an
// answer to a repeat of an idempotent request speaks of the repeat only.
func checkNotRun(requests []request, executions []execution) (bad []string) {
	where := byID(executions)
	for _, r := range requests {
		refused := func(a answer) bool { return a.verdict == notRun }
		certain := slices.ContainsFunc(r.answers, refused)
		if r.idempotent {
			certain = certain && !slices.ContainsFunc(r.answers, func(a answer) bool { return !refused(a) })
		}
		if runs := where[r.id]; certain && len(runs) > 0 {
			a := r.answers[0]
			bad = append(bad, fmt.Sprintf("request %s on %s was not run (%s by %s after %s) and ran on %s at %d",
				r.id, r.key, a.reason, a.daemon, a.end.Sub(a.call), runs[0].server, runs[0].StartedUS))
		}
	}
	return bad
}

// checkAnswers returns the answers that do not belong to their requests, and those of
// requests that ran nowhere or elsewhere than the answer says.
func checkAnswers(requests []request, executions []execution) (bad []string) {
	where := byID(executions)
	for _, r := range requests {
		for _, a := range r.answers {
			runs := where[r.id]
			switch {
			case a.verdict != ran:
			case len(runs) == 0:
				bad = append(bad, fmt.Sprintf("request %s on %s was answered by %s and ran nowhere", r.id, r.key, a.instance))
			case !a.body:
			case a.id != r.id:
				bad = append(bad, fmt.Sprintf("request %s got the answer of %s", r.id, a.id))
			case r.method == "echo" && a.payload != r.payload:
				bad = append(bad, fmt.Sprintf("request %s with payload %s got the answer %s", r.id, r.payload, a.payload))
			case !r.idempotent && !a.repeated && (runs[0].server != a.instance || runs[0].Epoch != a.epoch):
				bad = append(bad, fmt.Sprintf("request %s was answered by %s in epoch %d and ran on %s in epoch %d",
					r.id, a.instance, a.epoch, runs[0].server, runs[0].Epoch))
			}
		}
	}
	return bad
}

func byID(executions []execution) map[string][]execution {
	where := map[string][]execution{}
	for _, e := range executions {
		where[e.RequestID] = append(where[e.RequestID], e)
	}
	return where
}

// checkOwners returns the places where the executions of a key overlap between owners:
// the interval from the first to the last start in one epoch must not meet that of
// another, epochs grow with time, and each epoch belongs to one instance.
func checkOwners(executions []execution) (bad []string) {
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

// checkEpochs treats the answers for each key as reads of a register of owners whose
// epochs grow. It is exact: such a history is linearizable if and only if each epoch has
// one owner and no answer that ended before a call began has a later epoch than it.
func checkEpochs(requests []request) (bad []string) {
	byKey := map[string][]answer{}
	for _, r := range requests {
		for _, a := range r.answers {
			if a.body && !a.repeated {
				byKey[r.key] = append(byKey[r.key], a)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		ended := byKey[key]
		called := slices.Clone(ended)
		slices.SortFunc(ended, func(a, b answer) int { return a.end.Compare(b.end) })
		slices.SortFunc(called, func(a, b answer) int { return a.call.Compare(b.call) })
		owner := map[uint64]string{}
		latest, i := answer{}, 0
		for _, a := range called {
			for ; i < len(ended) && ended[i].end.Before(a.call); i++ {
				if ended[i].epoch > latest.epoch {
					latest = ended[i]
				}
			}
			if a.epoch < latest.epoch {
				bad = append(bad, fmt.Sprintf("key %s: %s answered in epoch %d a call made after %s had answered in epoch %d", key, a.instance, a.epoch, latest.instance, latest.epoch))
			}
			if o, found := owner[a.epoch]; found && o != a.instance {
				bad = append(bad, fmt.Sprintf("key %s: %s and %s answered in epoch %d", key, o, a.instance, a.epoch))
			}
			owner[a.epoch] = a.instance
		}
	}
	return bad
}

// sample is what a daemon process said about a feed at some time.
type sample struct {
	process string
	at      time.Time
	version uint64
	content string
}

// checkFeed returns the samples that contradict each other: a version has one content
// everywhere, and no process goes back to an earlier version.
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

// edit is one compare-and-set of a catalogue entry.
type edit struct {
	call, end time.Time
	token     uint32
	expected  uint64
	// version is the version of a successful edit; of a lost race, the current one.
	version uint64
	outcome string // one of ran, notRun, maybe and conflict
}

const conflict = "conflict"

// change is an entry's change in the catalogue's log.
type change struct {
	version uint64
	token   uint32
}

// checkRegister returns the edits that a compare-and-set register could not have
// answered. log is the entry's history in ascending order, from the version that the
// first edit expects. Each point in time is the earliest that calls and order allow, so
// the history is linearizable if and only if none passes the end of its edit.
func checkRegister(log []change, edits []edit) (bad []string) {
	byToken := map[uint32]edit{}
	losers := map[uint64][]edit{}
	for _, e := range edits {
		if e.outcome == conflict {
			losers[e.version] = append(losers[e.version], e)
			continue
		}
		byToken[e.token] = e
	}
	known := map[uint64]bool{}
	point := time.Time{}
	for i, c := range log {
		known[c.version] = true
		if i > 0 {
			e, found := byToken[c.token]
			delete(byToken, c.token)
			switch {
			case !found:
				bad = append(bad, fmt.Sprintf("version %d has token %d that nobody wrote, or that was written twice", c.version, c.token))
			case e.outcome == notRun:
				bad = append(bad, fmt.Sprintf("edit %d was not made and is version %d", c.token, c.version))
			case e.expected != log[i-1].version || c.version <= log[i-1].version:
				bad = append(bad, fmt.Sprintf("edit %d expected version %d and replaced version %d by %d", c.token, e.expected, log[i-1].version, c.version))
			case e.outcome == ran && e.version != c.version:
				bad = append(bad, fmt.Sprintf("edit %d was confirmed as version %d and is version %d", c.token, e.version, c.version))
			}
			if e.call.After(point) {
				point = e.call
			}
			if e.outcome == ran && point.After(e.end) {
				bad = append(bad, fmt.Sprintf("edit %d ended before an edit or a lost race that came first", c.token))
			}
		}
		next := point
		for _, e := range losers[c.version] {
			at := point
			if e.call.After(at) {
				at = e.call
			}
			if at.After(e.end) || e.expected == c.version {
				bad = append(bad, fmt.Sprintf("edit %d lost against version %d that was not current, or was expected", e.token, c.version))
			}
			if at.After(next) {
				next = at
			}
		}
		point = next
	}
	for token, e := range byToken {
		if e.outcome == ran {
			bad = append(bad, fmt.Sprintf("edit %d was confirmed as version %d and is lost", token, e.version))
		}
	}
	for version := range losers {
		if !known[version] {
			bad = append(bad, fmt.Sprintf("an edit lost against version %d that never was", version))
		}
	}
	return bad
}

// unavailable returns for each key the time from a loss to the first answer to a call
// made after it.
func unavailable(requests []request, keys []string, loss time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, r := range requests {
		if !r.probe || !slices.Contains(keys, r.key) {
			continue
		}
		for _, a := range r.answers {
			if a.body && a.call.After(loss) {
				if took, found := out[r.key]; !found || a.end.Sub(loss) < took {
					out[r.key] = a.end.Sub(loss)
				}
			}
		}
	}
	return out
}
