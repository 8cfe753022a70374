package lease

import (
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// sentRing is the number of unanswered renewals of a witness that may still be
// answered; 4 x RenewInterval exceeds GrantDuration.
const sentRing = 4

// grant is what a holder knows about one witness of a set.
type grant struct {
	expiry   time.Time // zero before the first grant
	heard    time.Time // last grant received, or the creation of the set
	sequence [sentRing]uint64
	sent     [sentRing]time.Time
	position int
	sealed   bool
	gone     bool
}

// grantSet is a witness set with its grants. If the set contains the store, its
// grant is the last one.
type grantSet struct {
	Set
	grants []grant
	// armed says that the set's commit was sent; from then on a lost quorum counts.
	armed bool
	// lapsed says that the armed set lost its quorum. It is never valid again,
	// because its session may have been fenced since.
	lapsed bool
	// began is when the holder began to collect grants.
	began time.Time
}

func newGrantSet(set Set, now time.Time) *grantSet {
	s := &grantSet{Set: set, grants: make([]grant, set.Size()), began: now}
	for i := range s.grants {
		s.grants[i].heard = now
	}
	return s
}

// until returns the quorum-th latest expiry: as long as fewer than Quorum grants
// have expired short of it, no takeover can have its seals.
func (s *grantSet) until() time.Time {
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

// observe notes a lost quorum.
func (s *grantSet) observe(now time.Time) {
	if s != nil && s.armed && !now.Before(s.until()) {
		s.lapsed = true
	}
}

// store returns the store's grant, or nil.
func (s *grantSet) store() *grant {
	if !s.Store {
		return nil
	}
	return &s.grants[len(s.grants)-1]
}

// find returns the grant of witness w, or nil.
func (s *grantSet) find(w cluster.Session) *grant {
	if i := s.index(w); i >= 0 {
		return &s.grants[i]
	}
	return nil
}

// valid counts the witnesses whose grant is valid.
func (s *grantSet) valid(now time.Time) int {
	n := 0
	for i := range s.grants {
		if now.Before(s.grants[i].expiry) {
			n++
		}
	}
	return n
}

// noteSent remembers when a renewal was sent.
func (g *grant) noteSent(sequence uint64, now time.Time) {
	g.sequence[g.position], g.sent[g.position] = sequence, now
	g.position = (g.position + 1) % sentRing
}

// extend applies the answer to a renewal and reports whether it is known.
func (g *grant) extend(sequence uint64, now time.Time, d time.Duration) bool {
	i := slices.Index(g.sequence[:], sequence)
	if i < 0 || sequence == 0 {
		return false
	}
	if e := g.sent[i].Add(d); e.After(g.expiry) {
		g.expiry = e
	}
	g.heard = now
	return true
}
