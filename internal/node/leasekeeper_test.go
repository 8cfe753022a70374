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
	return expiry.Lost{Holder: instance, Version: version, Age: leaseDuration}
}

// newLeaseKeeper returns a leaseKeeper whose clock stands still.
func newLeaseKeeper(store metastore.WatchedTable) *leaseKeeper {
	now := time.Now()
	return &leaseKeeper{
		instance: "a", address: "127.0.0.1:1", store: store, views: newViewStore(simProtocol{}, zap.NewNop()), log: zap.NewNop(),
		now: func() time.Time { return now }, sample: func(uint64, time.Duration) {},
	}
}

// Guards against two processes with one lease: a process whose row was taken over stops
// granting at once.
func TestLeaseTakenOverEnds(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	first, second := newLeaseKeeper(store), newLeaseKeeper(store)
	g.Expect(first.acquire(t.Context())).To(Succeed())
	g.Expect(first.validUntil()).NotTo(BeZero())
	g.Expect(second.acquire(t.Context())).To(Succeed())
	sent, err := first.write(t.Context())
	g.Expect(err).To(MatchError(metastore.ErrConflict))
	first.finishSelfRenewal(sent, err)
	g.Expect(first.validUntil()).To(BeZero())
	g.Expect(second.validUntil()).NotTo(BeZero())
}

// lostResponses applies transactions and reports that their outcome is unknown.
type lostResponses struct{ metastore.WatchedTable }

func (s lostResponses) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	if _, err := s.WatchedTable.Apply(ctx, txn); err != nil {
		return metastore.Applied{}, err
	}
	return metastore.Applied{}, metastore.ErrUnknown
}

// Guards against a lease that is given up because the response to its renewal was lost: the
// row has a nonce of this process.
func TestRenewalWithLostResponseIsRecognized(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	k := newLeaseKeeper(store)
	g.Expect(k.acquire(t.Context())).To(Succeed())
	k.store = lostResponses{store}
	_, err := k.write(t.Context())
	g.Expect(err).To(MatchError(metastore.ErrUnknown))
	k.store = store
	_, err = k.write(t.Context())
	g.Expect(errors.Is(err, errEarlierWriteApplied)).To(BeTrue(), "%v", err)
	_, err = k.write(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a lease that is extended by the confirmation of a renewal that this process
// did not request.
func TestConfirmationOfAnotherRenewalIsIgnored(t *testing.T) {
	g := NewWithT(t)
	k := newLeaseKeeper(memory.New(memory.Rates{}, 1))
	g.Expect(k.acquire(t.Context())).To(Succeed())
	until, version := k.validUntil(), k.version
	start := k.now()
	k.now = func() time.Time { return start.Add(time.Second) }
	request := k.requestRenewal()
	k.confirm(reportResponse{Renewed: &leaseRenewal{Nonce: request.Row.Nonce + 1, Version: version + 5}})
	g.Expect(k.validUntil()).To(Equal(until))
	g.Expect(k.version).To(Equal(version))
	k.confirm(reportResponse{Renewed: &leaseRenewal{Nonce: request.Row.Nonce, Version: version + 5}})
	g.Expect(k.validUntil()).To(Equal(until.Add(time.Second)))
}

// Guards against a renewal that extends the lease while the node's keys are not recorded in the
// store's present generation.
func TestRenewalExtendsOnlyALeaseWhoseKeysAreRecorded(t *testing.T) {
	g := NewWithT(t)
	k := newLeaseKeeper(memory.New(memory.Rates{}, 1))
	g.Expect(k.acquire(t.Context())).To(Succeed())
	clock, recorded := k.now(), false
	k.now = func() time.Time { return clock }
	k.restored = func(uint64) bool { return recorded }
	before := k.validUntil()
	renew := func() {
		clock = clock.Add(time.Second)
		sent, err := k.write(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		k.finishSelfRenewal(sent, err)
		request := k.requestRenewal()
		k.confirm(reportResponse{Renewed: &leaseRenewal{Nonce: request.Row.Nonce, Version: k.rowVersion()}})
	}
	renew()
	g.Expect(k.validUntil()).To(Equal(before))
	recorded = true
	renew()
	g.Expect(k.validUntil()).To(Equal(before.Add(2 * time.Second)))
}

// Guards against a node that gives its lease up because the store went back to an earlier
// renewal of it, or to a time before it, and against one that takes over what another process
// wrote since.
func TestLeaseOutlastsAStoreThatGoesBack(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	start := time.Now()
	k := newLeaseKeeper(store)
	g.Expect(k.acquire(t.Context())).To(Succeed())
	early := time.Now()
	time.Sleep(time.Millisecond)
	_, err := k.write(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	for _, from := range []time.Time{early, start.Add(-time.Second)} {
		store.Rewind(from, func(string) bool { return false })
		_, err = k.write(t.Context())
		g.Expect(err).To(MatchError(errEarlierWriteApplied))
		sent, err := k.write(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		k.finishSelfRenewal(sent, nil)
		g.Expect(k.validUntil()).NotTo(BeZero())
	}
	other := newLeaseKeeper(store)
	g.Expect(other.acquire(t.Context())).To(Succeed())
	_, err = k.write(t.Context())
	g.Expect(err).To(MatchError(metastore.ErrConflict))
}

// Guards against taking the keys of the node that has an address now, because the lease of its
// predecessor was renewed last.
func TestLateRenewalOfAReplacedNodeFencesNotItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	first, second := newLeaseKeeper(store), newLeaseKeeper(store)
	second.instance = "b"
	g.Expect(first.acquire(t.Context())).To(Succeed())
	late := first.requestRenewal()
	g.Expect(second.acquire(t.Context())).To(Succeed())
	_, err := second.write(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	n := New(Config{Instance: "planner", Store: store, Protocol: simProtocol{}}, zap.NewNop())
	n.planner.renew(t.Context(), []pendingRenewal{{"a", late, late.Version}})
	listing, err := store.List(t.Context(), leaseTable)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leaseVersions(listing)["a"]).To(BeNumerically(">", leaseVersions(listing)["b"]), "it was renewed last")
	g.Expect(replacedHolders(listing)).To(ConsistOf(HaveField("Holder", "a")))
}

// Guards against taking a node for the successor at its address because the store that went back
// shows the row with which it acquired its lease at a version of the new generation.
func TestAcquisitionsKeepTheirOrderWhenTheStoreGoesBack(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	first, second := newLeaseKeeper(store), newLeaseKeeper(store)
	second.instance = "b"
	g.Expect(first.acquire(t.Context())).To(Succeed())
	time.Sleep(time.Millisecond)
	copied := time.Now()
	time.Sleep(time.Millisecond)
	g.Expect(second.acquire(t.Context())).To(Succeed())
	g.Expect(store.Rewind(copied, func(string) bool { return false })).To(BeNumerically(">", 0))
	second.views.observeGeneration(metastore.VersionOf(store.Generation(), 1))
	for range 2 { // the first write recognises that the row is lost
		sent, err := second.write(t.Context())
		second.finishSelfRenewal(sent, err)
	}
	listing, err := store.List(t.Context(), leaseTable)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leaseVersions(listing)).To(HaveLen(2))
	g.Expect(replacedHolders(listing)).To(ConsistOf(HaveField("Holder", "a")))

	third := newLeaseKeeper(store)
	third.instance = "c"
	g.Expect(third.acquire(t.Context())).To(Succeed(), "it starts without knowing the generation")
	g.Expect(third.acquired).To(BeNumerically(">", second.acquired))
	listing, err = store.List(t.Context(), leaseTable)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replacedHolders(listing)).NotTo(ContainElement(HaveField("Holder", "c")))
}
