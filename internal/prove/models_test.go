package prove

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// historyLimit bounds the search for an order of a history. A history without a verdict
// in this time counts as a violation.
const historyLimit = time.Minute

// ownership is the state of a key: who owns it, and since which epoch.
type ownership struct {
	epoch uint64
	owner string
}

// ownerModel is a register of the owner of a key. Its epochs grow.
var ownerModel = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		s, read := state.(ownership), output.(ownership)
		return read.epoch > s.epoch || read == s, read
	},
}

// checkOwnerHistory returns the keys whose answers are no reads of a register of owners.
func checkOwnerHistory(requests []request, limit time.Duration) (bad []string) {
	byKey := map[string][]porcupine.Operation{}
	var base time.Time
	for _, r := range requests {
		for _, a := range r.answers {
			if base.IsZero() {
				base = a.call
			}
			if a.body && !a.repeated {
				byKey[r.key] = append(byKey[r.key], porcupine.Operation{Output: ownership{a.epoch, a.instance},
					Call: int64(a.call.Sub(base)), Return: int64(a.end.Sub(base))})
			}
		}
	}
	for key, history := range byKey {
		bad = append(bad, checkHistory("owners of key "+key, ownerModel, history, limit)...)
	}
	return bad
}

// checkHistory returns a violation if a history is not linearizable, or if that is not
// known in time.
func checkHistory(name string, m porcupine.Model, history []porcupine.Operation, limit time.Duration) []string {
	switch result := porcupine.CheckOperationsTimeout(m, history, limit); result {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return []string{name + ": the history is not linearizable"}
	default:
		return []string{fmt.Sprintf("%s: %s within %s", name, result, limit)}
	}
}

// runState is the state of a request id. An id that was refused never runs.
type runState struct {
	ran, refused bool
	at           ownership
}

// runInput says which operation an output belongs to.
type runInput struct {
	id string
	// execution is the start of the request on a backend server, not a caller's attempt.
	execution bool
}

// runOutput is where a request ran, or what a caller was told.
type runOutput struct {
	verdict string
	// at is empty in an answer that does not name the execution that it came from.
	at ownership
}

// onceModel runs each request id at most once. An answer "ran" comes after the execution,
// an answer "not run" excludes it.
var onceModel = porcupine.Model{
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

// checkOnceHistory returns a violation if the attempts and executions of non-idempotent
// requests contradict onceModel. The times are wall times of one machine.
func checkOnceHistory(requests []request, executions []execution, limit time.Duration) []string {
	var history []porcupine.Operation
	for _, r := range requests {
		for _, a := range r.answers {
			if r.idempotent {
				continue
			}
			out := runOutput{verdict: a.verdict}
			if a.body && !a.repeated {
				out.at = ownership{a.epoch, a.instance}
			}
			history = append(history, porcupine.Operation{Input: runInput{id: r.id}, Output: out,
				Call: a.call.UnixMicro(), Return: a.end.UnixMicro() + 1})
		}
	}
	for _, e := range executions {
		if !e.Idempotent && e.RequestID != "" {
			history = append(history, porcupine.Operation{Input: runInput{id: e.RequestID, execution: true},
				Output: runOutput{at: ownership{e.Epoch, e.server}}, Call: e.StartedUS, Return: e.StartedUS + 1})
		}
	}
	return checkHistory("request ids", onceModel, history, limit)
}

// entryState is a catalogue entry. Only its newest version can be not known yet: an edit
// with an unknown outcome made it, and the next operation that meets it names it.
type entryState struct {
	earlier string // tokens and versions of the replaced changes
	change  change
	floor   uint64 // the version before
}

// at returns the state if its version is v, or can be v.
func (s entryState) at(v uint64) (entryState, bool) {
	if s.change.version == 0 && v > s.floor {
		s.change.version = v
	}
	return s, s.change.version == v
}

// replace returns the state after an edit; version 0 is one that is not known.
func (s entryState) replace(token uint32, version uint64) any {
	return entryState{earlier: s.earlier + fmt.Sprint(s.change), change: change{version, token}, floor: s.change.version}
}

// entryModel is a catalogue entry under compare-and-set. The input is an edit, or nil for
// a read of the whole log.
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
				if next, ok := s.at(last.version); ok && next.earlier == earlier && next.change == last {
					return []any{next}
				}
				return nil
			case e.outcome == conflict:
				if next, ok := s.at(e.version); ok && e.expected != e.version {
					return []any{next}
				}
				return nil
			case e.outcome == notRun:
				return []any{s}
			}
			next, ok := s.at(e.expected)
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

// checkEntryHistory returns a violation if a log, read after all edits, and the outcomes of
// the edits contradict entryModel. An edit with an unknown outcome may be made at any
// time after its call.
func checkEntryHistory(log []change, edits []edit, limit time.Duration) []string {
	if len(log) == 0 {
		return []string{"the entry has no history"}
	}
	byCall := slices.SortedFunc(slices.Values(edits), func(a, b edit) int { return a.call.Compare(b.call) })
	var history []porcupine.Operation
	var end int64
	for _, e := range byCall {
		o := porcupine.Operation{Input: e, Call: int64(e.call.Sub(byCall[0].call)), Return: int64(e.end.Sub(byCall[0].call))}
		end = max(end, o.Return)
		if e.outcome == maybe {
			o.Return = math.MaxInt64
		}
		history = append(history, o)
	}
	history = append(history, porcupine.Operation{Output: log, Call: end + 1, Return: end + 2})
	return checkHistory("catalogue entry", entryModel(log[0]), history, limit)
}
