package node

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/membership/expiry"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

func lostHolder(instance string, version uint64) expiry.Lost {
	return expiry.Lost{Holder: instance, Version: version, For: leaseDuration}
}

// newLeaseDuty returns a duty whose clock stands still.
func newLeaseDuty(store metastore.WatchedTable) *leaseDuty {
	now := time.Now()
	return &leaseDuty{
		instance: "a", address: "127.0.0.1:1", store: store, views: newViewStore(simProtocol{}, zap.NewNop()), log: zap.NewNop(),
		now: func() time.Time { return now }, sampled: func(uint64, time.Duration) {},
	}
}

// Guards against two processes with one lease: the one whose row was taken over stops
// granting at once.
func TestTakenLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	first, second := newLeaseDuty(store), newLeaseDuty(store)
	g.Expect(first.acquire(t.Context())).To(Succeed())
	g.Expect(first.validUntil()).NotTo(BeZero())
	g.Expect(second.acquire(t.Context())).To(Succeed())
	sent, err := first.write(t.Context())
	g.Expect(err).To(MatchError(metastore.ErrConflict))
	first.endOwnWrite(sent, err)
	g.Expect(first.validUntil()).To(BeZero())
	g.Expect(second.validUntil()).NotTo(BeZero())
}

// lostAnswers applies transactions and says that their outcome is unknown.
type lostAnswers struct{ metastore.WatchedTable }

func (s lostAnswers) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	if _, err := s.WatchedTable.Apply(ctx, txn); err != nil {
		return metastore.Applied{}, err
	}
	return metastore.Applied{}, metastore.ErrUnknown
}

// Guards against a lease that is given up because the answer to its renewal was lost: the
// row has a nonce of this process.
func TestRenewalWithoutAnswerIsRecognised(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	d := newLeaseDuty(store)
	g.Expect(d.acquire(t.Context())).To(Succeed())
	d.store = lostAnswers{store}
	_, err := d.write(t.Context())
	g.Expect(err).To(MatchError(metastore.ErrUnknown))
	d.store = store
	_, err = d.write(t.Context())
	g.Expect(errors.Is(err, errAdopted)).To(BeTrue(), "%v", err)
	_, err = d.write(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a lease that is extended by the answer to a renewal that this process
// did not ask for.
func TestConfirmationOfAnotherRenewalCountsNothing(t *testing.T) {
	g := NewWithT(t)
	d := newLeaseDuty(memory.New(memory.Rates{}, 1))
	g.Expect(d.acquire(t.Context())).To(Succeed())
	until, version := d.validUntil(), d.version
	start := d.now()
	d.now = func() time.Time { return start.Add(time.Second) }
	offer := d.offer()
	d.confirm(reportAnswer{Renewed: &leaseRenewal{Nonce: offer.Row.Nonce + 1, Version: version + 5}})
	g.Expect(d.validUntil()).To(Equal(until))
	g.Expect(d.version).To(Equal(version))
	d.confirm(reportAnswer{Renewed: &leaseRenewal{Nonce: offer.Row.Nonce, Version: version + 5}})
	g.Expect(d.validUntil()).To(Equal(until.Add(time.Second)))
}
