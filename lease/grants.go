package lease

import (
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// maxPendingRenewals is the number of latest renewals to a witness whose responses
// count. By default, 4 x RenewInterval exceeds GrantDuration.
const maxPendingRenewals = 4

// grant is the holder's state of one witness of a set.
type grant struct {
	expiry    time.Time // zero before the first grant
	lastHeard time.Time // when the last grant arrived, or the set was created
	sequences [maxPendingRenewals]uint64
	sentAt    [maxPendingRenewals]time.Time
	nextSlot  int
	sealed    bool
	gone      bool // the incarnation in the set no longer runs
}

// grantSet is a witness set with its grants. If the set contains the store, the
// store's grant is the last one.
type grantSet struct {
	WitnessSet
	grants []grant
	// commitSent says that the set's commit was sent; from then on a lost quorum makes
	// the set lapse.
	commitSent bool
	// lapsed says that the set lost its quorum after its commit was sent. It is never
	// valid again, because its session may have been fenced since.
	lapsed bool
	// createdAt is when the holder began to collect grants.
	createdAt time.Time
}

func newGrantSet(set WitnessSet, now time.Time) *grantSet {
	s := &grantSet{WitnessSet: set, grants: make([]grant, set.Size()), createdAt: now}
	for i := range s.grants {
		s.grants[i].lastHeard = now
	}
	return s
}

// quorumUntil returns when the set loses its quorum: the Quorum-th latest expiry.
// Until then, a quorum of grants is valid and no takeover can have enough seals that
// have taken effect.
func (s *grantSet) quorumUntil() time.Time {
	var latest [MaxWitnesses]time.Time // in descending order
	for i := range s.grants {
		e := s.grants[i].expiry
		for j := range latest {
			if e.After(latest[j]) {
				e, latest[j] = latest[j], e
			}
		}
	}
	return latest[s.Quorum()-1]
}

// updateLapsed sets lapsed if the quorum is lost at now.
func (s *grantSet) updateLapsed(now time.Time) {
	if s != nil && s.commitSent && !now.Before(s.quorumUntil()) {
		s.lapsed = true
	}
}

// storeGrant returns the store's grant, or nil if the store is not a witness.
func (s *grantSet) storeGrant() *grant {
	if !s.Store {
		return nil
	}
	return &s.grants[len(s.grants)-1]
}

// find returns the grant of witness w, or nil if w is not in the set.
func (s *grantSet) find(w cluster.Session) *grant {
	if i := s.index(w); i >= 0 {
		return &s.grants[i]
	}
	return nil
}

// countValid returns the number of grants that are valid at now.
func (s *grantSet) countValid(now time.Time) int {
	n := 0
	for i := range s.grants {
		if now.Before(s.grants[i].expiry) {
			n++
		}
	}
	return n
}

// recordSent records when a renewal was sent.
func (g *grant) recordSent(sequence uint64, now time.Time) {
	g.sequences[g.nextSlot], g.sentAt[g.nextSlot] = sequence, now
	g.nextSlot = (g.nextSlot + 1) % maxPendingRenewals
}

// extend applies the response to a renewal. It reports whether the renewal is known.
func (g *grant) extend(sequence uint64, now time.Time, d time.Duration) bool {
	i := slices.Index(g.sequences[:], sequence)
	if i < 0 || sequence == 0 {
		return false
	}
	if e := g.sentAt[i].Add(d); e.After(g.expiry) {
		g.expiry = e
	}
	g.lastHeard = now
	return true
}
