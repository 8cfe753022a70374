package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// Preferences guides SelectWitnesses.
type Preferences struct {
	// Keep lists witnesses of the present set; they stay unless avoided or badly placed.
	Keep []cluster.Session
	// Avoid lists sessions that are chosen only if there are no others.
	Avoid map[cluster.Session]bool
	// Load is the number of sessions that each session serves as witness.
	Load map[cluster.Session]int
	// Limit is the load from which a session is chosen only if no other fits.
	Limit int
}

// candidate is a member with its precomputed rank.
type candidate struct {
	member cluster.Member
	avoid  bool
	keep   bool
	full   bool
	load   int
	order  int
}

// others returns the members of other instances, with the latest session of each.
// The earlier sessions of a restarted instance are dead; until they are fenced they
// must not make a small cluster look large.
func others(self cluster.Member, members []cluster.Member) []cluster.Member {
	latest := make(map[string]int, len(members))
	var out []cluster.Member
	for _, m := range members {
		if m.Session.Instance == self.Session.Instance {
			continue
		}
		i, ok := latest[m.Session.Instance]
		switch {
		case !ok:
			latest[m.Session.Instance] = len(out)
			out = append(out, m)
		case m.JoinedAt > out[i].JoinedAt:
			out[i] = m
		}
	}
	return out
}

// SelectWitnesses chooses the witness set of self, without a generation. It chooses
// three members in self's region and in distinct availability zones if there are
// enough, and adds the store with fewer than three other members. Among equals it
// keeps present witnesses, then prefers a low load, then chooses at random.
func SelectWitnesses(self cluster.Member, members []cluster.Member, p Preferences, rng *rand.Rand) Set {
	region, all := candidates(self, members, p)
	pool := all
	if len(region) >= MaxWitnesses {
		pool = region
	}
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	for i := range pool {
		pool[i].order = i
	}
	set := Set{Store: len(all) < MaxWitnesses}
	zones := map[string]bool{}
	for len(pool) > 0 && len(set.Witnesses) < MaxWitnesses {
		i := 0
		for j := range pool {
			if compareCandidates(self, pool[j], pool[i], zones) < 0 {
				i = j
			}
		}
		set.Witnesses = append(set.Witnesses, pool[i].member.Session)
		zones[pool[i].member.Zone] = true
		pool = slices.Delete(pool, i, i+1)
	}
	return set
}

func candidates(self cluster.Member, members []cluster.Member, p Preferences) (region, all []candidate) {
	for _, m := range others(self, members) {
		load := p.Load[m.Session]
		keep := slices.Contains(p.Keep, m.Session)
		c := candidate{member: m, avoid: p.Avoid[m.Session] || m.State == cluster.MemberDraining,
			keep: keep, load: load, full: !keep && p.Limit > 0 && load >= p.Limit}
		all = append(all, c)
		if m.Region() == self.Region() {
			region = append(region, c)
		}
	}
	return region, all
}

// compareCandidates is negative if a is the better next witness.
func compareCandidates(self cluster.Member, a, b candidate, zones map[string]bool) int {
	return cmp.Or(
		compareBool(a.avoid, b.avoid),
		compareBool(zones[a.member.Zone], zones[b.member.Zone]),
		compareBool(a.member.Region() != self.Region(), b.member.Region() != self.Region()),
		compareBool(a.full, b.full),
		compareBool(b.keep, a.keep),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.order, b.order),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
