package policybench

import (
	"math"
	"math/rand/v2"
)

// Series is a load series. Times are in seconds.
type Series struct {
	Name     string
	Duration int
	// Swell is the activity of a region at a time, 1 for the mean; nil for none.
	Swell func(region, regions, t int) float64
	// Hot generates the hot keys of a service of members.
	Hot func(members int, rng *rand.Rand) []hotKey
	// Events are the changes of members.
	Events Events
}

// Events are changes of members and servers.
type Events struct {
	// LieFrom and LieTo bound the time in which the first server of each service fails
	// requests fast and claims no load. The second one is frozen in the middle of it.
	LieFrom, LieTo int
	// LoseZoneAt is the time at which all members of the last zone are lost.
	LoseZoneAt int
	// LoseOneAt is the time at which server LoseIndex of the first service is lost.
	LoseOneAt, LoseIndex int
	// Replacements are drained one by one from ReplaceFrom on, every ReplaceEvery.
	Replacements, ReplaceFrom, ReplaceEvery int
}

// hotKey is a key with a load of its own; share is a share of a member's base load.
type hotKey struct {
	hash  uint64
	share func(t int) float64
}

func constant(share float64) func(int) float64 { return func(int) float64 { return share } }

// ramp is 0 before from, peak between up and down, and 0 from end on.
func ramp(from, up, down, end int, peak float64) func(int) float64 {
	return func(t int) float64 {
		switch {
		case t < from || t >= end:
			return 0
		case t < up:
			return peak * float64(t-from) / float64(up-from)
		case t >= down:
			return peak * float64(end-t) / float64(end-down)
		default:
			return peak
		}
	}
}

// usual are the mildly hot keys that every series has.
func usual(members int, rng *rand.Rand) []hotKey {
	keys := make([]hotKey, members)
	for i := range keys {
		keys[i] = hotKey{rng.Uint64(), constant(0.3 / math.Sqrt(float64(1+i%16)))}
	}
	return keys
}

// hotCount is the number of keys that are hottest at a time: 120 in a large cluster.
func hotCount(members int) int { return min(120, members) }

// hottest is the share of the i-th of n hottest keys, 0.2 to 0.8 of a member.
func hottest(i, n int) float64 { return 0.2 + 0.6*float64(n-i)/float64(n) }

// AllSeries returns the load series of the benchmark.
func AllSeries() []Series {
	return []Series{
		{Name: "steady", Duration: 1800, Hot: steadyHot},
		{Name: "morning rush", Duration: 1800, Hot: rushHot, Swell: func(_, _, t int) float64 {
			return 1 + 0.5*min(1, max(0, float64(t-300)/600))
		}},
		{Name: "descent", Duration: 1800, Hot: descentHot},
		{Name: "sun swell", Duration: 2400, Hot: steadyHot, Swell: func(region, regions, t int) float64 {
			return 1 + 0.6*math.Sin(2*math.Pi*(float64(t)/2400+float64(region)/float64(regions)))
		}},
		{Name: "hot keys replaced", Duration: 1800, Hot: replacedHot},
		{Name: "server lies", Duration: 1800, Hot: steadyHot, Events: Events{LieFrom: 600, LieTo: 1200}},
		{Name: "zone lost", Duration: 1800, Hot: steadyHot, Events: Events{LoseZoneAt: 600}},
		{Name: "110 replaced", Duration: 3900, Hot: steadyHot, Events: Events{Replacements: 110, ReplaceFrom: 300, ReplaceEvery: 30}},
	}
}

func steadyHot(members int, rng *rand.Rand) []hotKey {
	keys := usual(members, rng)
	n := hotCount(members) / 3
	for i := range n {
		keys = append(keys, hotKey{rng.Uint64(), constant(hottest(i, n))})
	}
	return keys
}

// rushHot has care homes whose residents all book within minutes, one after another.
func rushHot(members int, rng *rand.Rand) []hotKey {
	keys := usual(members, rng)
	n := max(1, hotCount(members)/2)
	for i := range n {
		from := 400 + rng.IntN(600)
		keys = append(keys, hotKey{rng.Uint64(), ramp(from, from+60, from+300, from+420, hottest(i, n))})
	}
	return keys
}

// descentHot has flights whose passengers all buy before the descent; the load of a
// flight rises over five minutes and ends at once on landing.
func descentHot(members int, rng *rand.Rand) []hotKey {
	keys := usual(members, rng)
	n := hotCount(members)
	for i := range n {
		from := 200 + 1200*i/n
		keys = append(keys, hotKey{rng.Uint64(), ramp(from, from+300, from+330, from+331, 0.9)})
	}
	return keys
}

// replacedHot replaces the hottest keys in three steps within two minutes.
func replacedHot(members int, rng *rand.Rand) []hotKey {
	keys := usual(members, rng)
	n := hotCount(members)
	for i := range n {
		at := 600 + 60*(i%3)
		peak := hottest(i, n)
		keys = append(keys,
			hotKey{rng.Uint64(), ramp(-1, 0, at, at, peak)},
			hotKey{rng.Uint64(), ramp(at, at, math.MaxInt, math.MaxInt, peak)})
	}
	return keys
}
