package feed

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/platform"
	"github.com/basilway/basilway/platform/memory"
)

// lossy answers a commit with ErrUnknown, before or after it took effect, and lets a
// rival write in between.
type lossy struct {
	platform.Table
	apply bool
	rival func()
	fired bool
}

func (l *lossy) Commit(ctx context.Context, txn platform.Txn) error {
	if l.fired {
		return l.Table.Commit(ctx, txn)
	}
	l.fired = true
	if l.apply {
		if err := l.Table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	if l.rival != nil {
		l.rival()
	}
	return platform.ErrUnknown
}

// Guards against an edit that is reported wrongly after its answer was lost.
func TestAppendResolvesLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name         string
		apply, rival bool
		want         error
	}{
		{"applied", true, false, nil},
		{"not applied", false, false, nil},
		{"applied, then a rival wrote", true, true, nil},
		{"not applied, a rival won", false, true, platform.ErrConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			store := memory.New(memory.Rates{}, 1)
			table := &lossy{Table: store, apply: c.apply}
			if c.rival {
				after := uint64(0)
				if c.apply {
					after = 1
				}
				table.rival = func() {
					_, err := NewWriter(store).Append(ctx, "t", after, []byte("rival"), platform.Txn{})
					g.Expect(err).NotTo(HaveOccurred())
				}
			}
			_, err := NewWriter(table).Append(ctx, "t", 0, []byte("mine"), platform.Txn{})
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(c.want))
			}
			records, err := NewLoader(store, store.Objects()).Records(ctx, "t", 0)
			g.Expect(err).NotTo(HaveOccurred())
			mine := 0
			for _, r := range records {
				if string(r.Body) == "mine" {
					mine++
				}
			}
			g.Expect(mine == 1).To(Equal(c.want == nil))
		})
	}
}

type versions struct{ applied []uint64 }

func (v *versions) ApplyRecord(version uint64, _ []byte) error {
	v.applied = append(v.applied, version)
	return nil
}
func (v *versions) RestoreSnapshot(Snapshot) error  { return nil }
func (v *versions) TakeSnapshot() (Snapshot, error) { return Snapshot{}, nil }

// Guards against a version that goes back or leaves a gap when records arrive late,
// twice or out of order.
func TestReplicaAppliesInOrderOnly(t *testing.T) {
	g := NewWithT(t)
	v := &versions{}
	r := NewReplica("t", 2, v)
	for _, batch := range [][]Record{{{Version: 2}}, {{Version: 1}, {Version: 2}}, {{Version: 1}}, {{Version: 4}, {Version: 3}}} {
		_, err := r.Offer(batch)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(v.applied).To(Equal([]uint64{1, 2, 3}))
	g.Expect(r.Restore(Snapshot{Version: 2})).To(Succeed())
	g.Expect(r.Version()).To(BeEquivalentTo(3))
}
