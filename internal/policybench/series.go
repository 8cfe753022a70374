package policybench

import (
	"math"
	"math/rand/v2"
)

// Series is a generated load over time. Times are in seconds.
type Series struct {
	Name     string
	Duration int
	// Activity returns the factor on the load of a region at time t; 1 is the mean load. If
	// nil, the factor is always 1.
	Activity func(region, regions, t int) float64
	// Hot generates the hot keys of a service with the given number of members.
	Hot func(members int, rng *rand.Rand) []hotKey
	// Events are the changes of members and servers during the series.
	Events Events
}

// Events schedules changes of members and servers. Times are in seconds.
type Events struct {
	// MisreportFrom and MisreportTo bound the time in which the first server of each
	// service fails requests fast and claims no load. The second server of each service is
	// frozen from the middle of that time, for freezeTime.
	MisreportFrom, MisreportTo int
	// LoseZoneAt is the time at which all members of the last availability zone are lost; 0
	// for never.
	LoseZoneAt int
	// LoseOneAt is the time at which server LoseIndex of the first service is lost; 0 for
	// never.
	LoseOneAt, LoseIndex int
	// Replacements is the number of members that are drained and replaced, one every
	// ReplaceEvery seconds from ReplaceFrom on.
	Replacements, ReplaceFrom, ReplaceEvery int
}

// hotKey is a key with its own load over time, as a share of a member's base load.
type hotKey struct {
	hash  uint64
	share func(t int) float64
}

func constantShare(share float64) func(int) float64 { return func(int) float64 { return share } }

// ramp rises from 0 at start to peak at peakStart, stays there until peakEnd and falls to
// 0 at end.
func ramp(start, peakStart, peakEnd, end int, peak float64) func(int) float64 {
	return func(t int) float64 {
		switch {
		case t < start || t >= end:
			return 0
		case t < peakStart:
			return peak * float64(t-start) / float64(peakStart-start)
		case t >= peakEnd:
			return peak * float64(end-t) / float64(end-peakEnd)
		default:
			return peak
		}
	}
}

// mildHotKeys returns the mildly hot keys that every series has, one for each member.
func mildHotKeys(members int, rng *rand.Rand) []hotKey {
	keys := make([]hotKey, members)
	for i := range keys {
		keys[i] = hotKey{rng.Uint64(), constantShare(0.3 / math.Sqrt(float64(1+i%16)))}
	}
	return keys
}

// hottestCount returns the largest number of hottest keys of a service at a time: one for
// each member, and at most 120.
func hottestCount(members int) int { return min(120, members) }

// hottestShare returns the share of the i-th of n hottest keys, 0.2 to 0.8 of a member's
// base load.
func hottestShare(i, n int) float64 { return 0.2 + 0.6*float64(n-i)/float64(n) }

// AllSeries returns the load series of the benchmark.
func AllSeries() []Series {
	return []Series{
		{Name: "steady", Duration: 1800, Hot: steadyHot},
		{Name: "morning rush", Duration: 1800, Hot: rushHot, Activity: func(_, _, t int) float64 {
			return 1 + 0.5*min(1, max(0, float64(t-300)/600))
		}},
		{Name: "descent", Duration: 1800, Hot: descentHot},
		{Name: "sun swell", Duration: 2400, Hot: steadyHot, Activity: func(region, regions, t int) float64 {
			return 1 + 0.6*math.Sin(2*math.Pi*(float64(t)/2400+float64(region)/float64(regions)))
		}},
		{Name: "hot keys replaced", Duration: 1800, Hot: replacedHot},
		{Name: "server lies", Duration: 1800, Hot: steadyHot, Events: Events{MisreportFrom: 600, MisreportTo: 1200}},
		{Name: "zone lost", Duration: 1800, Hot: steadyHot, Events: Events{LoseZoneAt: 600}},
		{Name: "110 replaced", Duration: 3900, Hot: steadyHot, Events: Events{Replacements: 110, ReplaceFrom: 300, ReplaceEvery: 30}},
	}
}

func steadyHot(members int, rng *rand.Rand) []hotKey {
	keys := mildHotKeys(members, rng)
	n := hottestCount(members) / 3
	for i := range n {
		keys = append(keys, hotKey{rng.Uint64(), constantShare(hottestShare(i, n))})
	}
	return keys
}

// rushHot models care homes whose residents all book within a few minutes, each home from
// a random time on.
func rushHot(members int, rng *rand.Rand) []hotKey {
	keys := mildHotKeys(members, rng)
	n := max(1, hottestCount(members)/2)
	for i := range n {
		start := 400 + rng.IntN(600)
		keys = append(keys, hotKey{rng.Uint64(), ramp(start, start+60, start+300, start+420, hottestShare(i, n))})
	}
	return keys
}

// descentHot models flights whose passengers all buy before the descent. The load of a
// flight rises for five minutes, stays at its peak for 30 s and ends within a second on
// landing.
func descentHot(members int, rng *rand.Rand) []hotKey {
	keys := mildHotKeys(members, rng)
	n := hottestCount(members)
	for i := range n {
		start := 200 + 1200*i/n
		keys = append(keys, hotKey{rng.Uint64(), ramp(start, start+300, start+330, start+331, 0.9)})
	}
	return keys
}

// replacedHot replaces the hottest keys in three steps within two minutes.
func replacedHot(members int, rng *rand.Rand) []hotKey {
	keys := mildHotKeys(members, rng)
	n := hottestCount(members)
	for i := range n {
		at := 600 + 60*(i%3)
		peak := hottestShare(i, n)
		keys = append(keys,
			hotKey{rng.Uint64(), ramp(-1, 0, at, at, peak)},
			hotKey{rng.Uint64(), ramp(at, at, math.MaxInt, math.MaxInt, peak)})
	}
	return keys
}
