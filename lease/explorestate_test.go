package lease

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilway/basilway/cluster"
)

// clone copies a world. The copies share the random source, which only affects times
// that this configuration does not reach.
func (w *world) clone() *world {
	c := *w
	c.messages, c.commits = slices.Clone(w.messages), slices.Clone(w.commits)
	h := *w.holder
	h.actions, h.current, h.next = nil, h.current.clone(), h.next.clone()
	h.avoidUntil = map[cluster.Session]time.Time{}
	for k, v := range w.holder.avoidUntil {
		h.avoidUntil[k] = v
	}
	c.holder = &h
	for i, x := range w.witnesses {
		y := *x
		y.actions, y.ordered, y.sessions = nil, nil, map[cluster.Session]*sessionState{}
		for _, s := range x.ordered {
			v := *s
			v.grants = slices.Clone(s.grants)
			y.sessions[v.session] = &v
			y.ordered = append(y.ordered, &v)
		}
		c.witnesses[i] = &y
	}
	t := *w.takeover
	t.actions, t.seals = nil, slices.Clone(t.seals)
	c.takeover = &t
	return &c
}

func (s *grantSet) clone() *grantSet {
	if s == nil {
		return nil
	}
	c := *s
	c.grants = slices.Clone(s.grants)
	return &c
}

// hash identifies a state. Sequence numbers and past times without an effect make some
// equivalent states differ, which costs time but misses no state.
func (w *world) hash() uint64 {
	d := xxhash.New()
	put := func(v ...int64) {
		var b [8]byte
		for _, x := range v {
			binary.LittleEndian.PutUint64(b[:], uint64(x))
			_, _ = d.Write(b[:])
		}
	}
	flag := func(v bool) int64 {
		if v {
			return 1
		}
		return 0
	}
	at := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return int64(t.Sub(simEpoch))
	}
	put(at(w.now), flag(w.restarted), int64(w.row.Version), int64(xxhash.Sum64(w.row.Value)))
	h := w.holder
	put(int64(h.phase), int64(h.nextGeneration), int64(h.sequence), int64(h.rowVersion), int64(h.commitAttempt), int64(h.readAttempt),
		flag(h.resendCommit), flag(h.versionKnown), flag(h.commitUncertain), at(h.retryAt), at(h.renewAt), at(h.changeAt), int64(h.backoff),
		flag(h.stopped), int64(len(h.avoidUntil)))
	for _, s := range []*grantSet{h.current, h.next} {
		if s == nil {
			put(-2)
			continue
		}
		put(int64(s.Generation), flag(s.commitSent), flag(s.lapsed), at(s.createdAt))
		for i := range s.grants {
			g := &s.grants[i]
			put(at(g.expiry), at(g.lastHeard), flag(g.sealed), flag(g.gone), int64(g.nextSlot))
			for j := range g.sentAt {
				put(int64(g.sequences[j]), at(g.sentAt[j]))
			}
		}
	}
	for _, x := range w.witnesses {
		for _, s := range x.ordered {
			put(int64(s.sealed), int64(s.confirmed), int64(s.report.generation), int64(len(s.grants)))
			for _, g := range s.grants {
				put(int64(g.generation), at(g.grantedAt), at(g.expiry))
			}
		}
	}
	t := w.takeover
	put(int64(t.phase), flag(t.reading), int64(t.version), int64(t.attempt), at(t.retryAt), at(t.rereadAt), flag(t.operatorAsked))
	for _, s := range t.seals {
		put(flag(s.done), flag(s.gone), flag(s.declined), at(s.grantEnd))
	}
	var sums []uint64 // the order of messages in flight does not matter
	for _, m := range w.messages {
		sums = append(sums, xxhash.Sum64(append(encode(m.event), byte(m.to))))
	}
	slices.Sort(sums)
	for _, s := range sums {
		put(int64(s))
	}
	for _, c := range w.commits {
		put(flag(c.fence), int64(c.attempt), int64(xxhash.Sum64(encode(c.txn))))
	}
	return d.Sum64()
}
