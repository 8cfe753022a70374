package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// Preferences are the inputs of SelectWitnesses besides the members.
type Preferences struct {
	// Keep lists the witnesses of the current set. They are preferred to members that
	// rank equally in avoidance, availability zone, region and the load limit.
	Keep []cluster.Session
	// Avoid lists sessions that are chosen only if there are no others.
	Avoid map[cluster.Session]bool
	// Load is the number of sessions for which each session is a witness.
	Load map[cluster.Session]int
	// Limit is the load at which a session is chosen only if no other fits; 0 means no
	// limit. It does not apply to sessions in Keep.
	Limit int
}

// candidate is a member with the criteria that rank it.
type candidate struct {
	member   cluster.Member
	avoid    bool
	keep     bool
	atLimit  bool
	load     int
	tieBreak int
}

// latestPeers returns the members of other instances, with the latest session of each.
// The earlier sessions of a restarted instance no longer run; until they are fenced,
// they must not make a small cluster look large.
func latestPeers(self cluster.Member, members []cluster.Member) []cluster.Member {
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
// enough, and adds the store if there are fewer than three other members. Among equal
// members it prefers current witnesses, then a low load, and then chooses at random.
func SelectWitnesses(self cluster.Member, members []cluster.Member, p Preferences, rng *rand.Rand) WitnessSet {
	region, all := candidates(self, members, p)
	pool := all
	if len(region) >= MaxWitnesses {
		pool = region
	}
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	for i := range pool {
		pool[i].tieBreak = i
	}
	set := WitnessSet{Store: len(all) < MaxWitnesses}
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
	for _, m := range latestPeers(self, members) {
		load := p.Load[m.Session]
		keep := slices.Contains(p.Keep, m.Session)
		c := candidate{member: m, avoid: p.Avoid[m.Session] || m.State == cluster.MemberDraining,
			keep: keep, load: load, atLimit: !keep && p.Limit > 0 && load >= p.Limit}
		all = append(all, c)
		if m.Region() == self.Region() {
			region = append(region, c)
		}
	}
	return region, all
}

// compareCandidates returns a negative number if a is the better next witness. zones
// are the availability zones of the witnesses chosen so far.
func compareCandidates(self cluster.Member, a, b candidate, zones map[string]bool) int {
	return cmp.Or(
		compareBool(a.avoid, b.avoid),
		compareBool(zones[a.member.Zone], zones[b.member.Zone]),
		compareBool(a.member.Region() != self.Region(), b.member.Region() != self.Region()),
		compareBool(a.atLimit, b.atLimit),
		compareBool(b.keep, a.keep),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.tieBreak, b.tieBreak),
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
