package prove

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// searchTimeout bounds the search for a linearization of a history. A history that is
// undecided within this time counts as a violation.
const searchTimeout = time.Minute

// ownership is the state of a key: its owner, and the epoch of that owner.
type ownership struct {
	epoch uint64
	owner string
}

// ownerModel is a register that holds the owner of a key. Its epoch only grows.
var ownerModel = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		s, read := state.(ownership), output.(ownership)
		return read.epoch > s.epoch || read == s, read
	},
}

// checkOwnerHistory returns the keys whose responses are not linearizable as reads of
// ownerModel.
func checkOwnerHistory(requests []request, timeout time.Duration) (bad []string) {
	byKey := map[string][]porcupine.Operation{}
	var base time.Time
	for _, r := range requests {
		for _, a := range r.attempts {
			if base.IsZero() {
				base = a.started
			}
			if a.hasPayload && !a.repeated {
				byKey[r.key] = append(byKey[r.key], porcupine.Operation{Output: ownership{a.epoch, a.instance},
					Call: int64(a.started.Sub(base)), Return: int64(a.ended.Sub(base))})
			}
		}
	}
	for key, history := range byKey {
		bad = append(bad, checkHistory("owners of key "+key, ownerModel, history, timeout)...)
	}
	return bad
}

// checkHistory returns a violation if a history is not linearizable, or is undecided within
// timeout.
func checkHistory(name string, m porcupine.Model, history []porcupine.Operation, timeout time.Duration) []string {
	switch result := porcupine.CheckOperationsTimeout(m, history, timeout); result {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return []string{name + ": the history is not linearizable"}
	default:
		return []string{fmt.Sprintf("%s: %s within %s", name, result, timeout)}
	}
}

// runState is the state of a request id. A refused id must not run later.
type runState struct {
	ran, refused bool
	at           ownership
}

// runInput identifies the operation that an output belongs to.
type runInput struct {
	id string
	// execution is set for the start of the request on a backend server, and not for an
	// attempt of a caller.
	execution bool
}

// runOutput is where a request ran, or the verdict that a caller received.
type runOutput struct {
	verdict string
	// at is zero for a response that does not name its execution.
	at ownership
}

// atMostOnceModel runs each request id at most once. The verdict ran is valid only after the
// execution, and notRun only if there is none, before or after.
var atMostOnceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) (out [][]porcupine.Operation) {
		byID := map[string][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(runInput).id
			byID[id] = append(byID[id], o)
		}
		for _, list := range byID {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return runState{} },
	Step: func(state, input, output any) (bool, any) {
		s, out := state.(runState), output.(runOutput)
		switch {
		case input.(runInput).execution:
			return !s.ran && !s.refused, runState{ran: true, at: out.at}
		case out.verdict == ran:
			return s.ran && (out.at == ownership{} || out.at == s.at), s
		case out.verdict == notRun:
			return !s.ran, runState{refused: true}
		}
		return true, s
	},
}

// checkAtMostOnceHistory returns a violation if the attempts and executions of non-idempotent
// requests contradict atMostOnceModel. All times are wall-clock times of the same machine.
func checkAtMostOnceHistory(requests []request, executions []execution, timeout time.Duration) []string {
	var history []porcupine.Operation
	for _, r := range requests {
		for _, a := range r.attempts {
			if r.idempotent {
				continue
			}
			out := runOutput{verdict: a.verdict}
			if a.hasPayload && !a.repeated {
				out.at = ownership{a.epoch, a.instance}
			}
			history = append(history, porcupine.Operation{Input: runInput{id: r.id}, Output: out,
				Call: a.started.UnixMicro(), Return: a.ended.UnixMicro() + 1})
		}
	}
	for _, e := range executions {
		if !e.Idempotent && e.RequestID != "" {
			history = append(history, porcupine.Operation{Input: runInput{id: e.RequestID, execution: true},
				Output: runOutput{at: ownership{e.Epoch, e.server}}, Call: e.StartedUS, Return: e.StartedUS + 1})
		}
	}
	return checkHistory("request ids", atMostOnceModel, history, timeout)
}

// entryState is the state of a catalogue entry. Only its newest version can be unknown: an
// edit with an unknown outcome created it, and the next operation that refers to it reveals
// it.
type entryState struct {
	earlier  string // the replaced changes, as text
	change   change
	previous uint64 // version of the replaced change
}

// withVersion returns the state with version v, and whether its version is v or may be v.
func (s entryState) withVersion(v uint64) (entryState, bool) {
	if s.change.version == 0 && v > s.previous {
		s.change.version = v
	}
	return s, s.change.version == v
}

// replace returns the state after an edit. A version of 0 means that it is unknown.
func (s entryState) replace(token uint32, version uint64) any {
	return entryState{earlier: s.earlier + fmt.Sprint(s.change), change: change{version, token}, previous: s.change.version}
}

// entryModel is a catalogue entry under compare-and-set, whose history starts with first.
// The input of an operation is an edit, or nil for a read of the whole history.
func entryModel(first change) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{entryState{change: first}} },
		Step: func(state, input, output any) []any {
			s := state.(entryState)
			e, isEdit := input.(edit)
			switch {
			case !isEdit:
				log := output.([]change)
				last := log[len(log)-1]
				earlier := ""
				for _, c := range log[:len(log)-1] {
					earlier += fmt.Sprint(c)
				}
				if next, ok := s.withVersion(last.version); ok && next.earlier == earlier && next.change == last {
					return []any{next}
				}
				return nil
			case e.outcome == conflict:
				if next, ok := s.withVersion(e.version); ok && e.expected != e.version {
					return []any{next}
				}
				return nil
			case e.outcome == notRun:
				return []any{s}
			}
			next, ok := s.withVersion(e.expected)
			switch {
			case e.outcome == ran && ok && e.version > e.expected:
				return []any{next.replace(e.token, e.version)}
			case e.outcome == ran:
				return nil
			case ok:
				return []any{s, next.replace(e.token, 0)}
			}
			return []any{s}
		},
	}
	return m.ToModel()
}

// checkEntryHistory returns a violation if log, read after all edits, and the outcomes of the
// edits contradict entryModel. An edit with an unknown outcome may take effect at any time
// after its start.
func checkEntryHistory(log []change, edits []edit, timeout time.Duration) []string {
	if len(log) == 0 {
		return []string{"the entry has no history"}
	}
	byCall := slices.SortedFunc(slices.Values(edits), func(a, b edit) int { return a.started.Compare(b.started) })
	var history []porcupine.Operation
	var end int64
	for _, e := range byCall {
		o := porcupine.Operation{Input: e, Call: int64(e.started.Sub(byCall[0].started)), Return: int64(e.ended.Sub(byCall[0].started))}
		end = max(end, o.Return)
		if e.outcome == mayHaveRun {
			o.Return = math.MaxInt64
		}
		history = append(history, o)
	}
	history = append(history, porcupine.Operation{Output: log, Call: end + 1, Return: end + 2})
	return checkHistory("catalogue entry", entryModel(log[0]), history, timeout)
}
