package cluster

import (
	"fmt"
	"runtime"
	"testing"
)

// largeState returns a cluster state with the given members, 8 ranges per member and 120
// hot keys. The target size is 1,900 members.
func largeState(members int) *State {
	s := NewState()
	var entries []Entry
	var sessions []Session
	for i := range members {
		session := Session{Instance: fmt.Sprintf("booking-%05d", i), Incarnation: uint64(i) * 0x9e3779b97f4a7c15}
		sessions = append(sessions, session)
		entries = append(entries, Entry{Kind: EntryMemberJoined, Member: &Member{
			Session: session, Address: fmt.Sprintf("10.%d.%d.%d:7400", i%6, i%22, i%250),
			Zone: fmt.Sprintf("region-%d/zone-%d", i%6, i%22), Service: "booking", Slots: 9,
		}})
	}
	ranges := members * 8
	for i := range ranges {
		unit := Unit{Service: "booking", Start: uint64(i) * (^uint64(0)/uint64(ranges) + 1)}
		entries = append(entries, Entry{Kind: EntryOwnerSet, Unit: unit, Session: sessions[i%members]})
	}
	for i := range 120 {
		entries = append(entries, Entry{Kind: EntryHotKeyIsolated, Unit: Unit{Service: "booking", Start: uint64(i)*1e15 + 7, Hot: true}})
	}
	if err := s.Apply(1, entries); err != nil {
		panic(err)
	}
	return s
}

// BenchmarkState reports the cost of one cluster version and of an owner lookup, the heap
// size of the state and the size of its snapshot.
func BenchmarkState(b *testing.B) {
	for _, members := range []int{190, 1900} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := largeState(members)
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap := after.HeapAlloc - before.HeapAlloc
		body, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		move := []Entry{{Kind: EntryMoveBegun, Unit: Unit{Service: "booking"}, Session: s.SortedMembers()[1].Session}}
		b.Run(fmt.Sprintf("next/members=%d", members), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Next(s.Version+1, move); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heap), "heap-B")
			b.ReportMetric(float64(len(body)), "snapshot-B")
		})
		b.Run(fmt.Sprintf("owner/members=%d", members), func(b *testing.B) {
			hash := uint64(1)
			for b.Loop() {
				hash = hash*6364136223846793005 + 1442695040888963407
				s.Owner("booking", hash)
			}
		})
	}
}
