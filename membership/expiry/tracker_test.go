package expiry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
)

func config() Config {
	return Config{ExpireAfter: 9 * time.Second, MaxGap: 3 * time.Second, Reachable: 2500 * time.Millisecond, Resolution: 100 * time.Millisecond}
}

// Guards against keys staying without an owner for a whole lease after the planner is
// replaced: a new planner derives the age of a row from earlier responses of the store.
func TestAgeIsKnownFromEarlierSamples(t *testing.T) {
	g := NewWithT(t)
	tr := New(config())
	for s := 0; s <= 9; s++ {
		tr.Sample(uint64(100+10*s), time.Duration(s)*time.Second)
	}
	g.Expect(tr.Lost(map[string]uint64{"dark": 95, "alive": 185})).To(ConsistOf(Lost{Holder: "dark", Version: 95, Age: 9 * time.Second}))
}

// Guards against live holders losing their leases because of a store outage: they need time
// to renew once the store is back.
func TestStoreOutageExpiresNoLease(t *testing.T) {
	g := NewWithT(t)
	tr := New(config())
	tr.Sample(100, time.Second)
	tr.Sample(100, 3*time.Second)
	rows := map[string]uint64{"a": 90}
	tr.Sample(101, 14*time.Second)
	g.Expect(tr.Lost(rows)).To(BeEmpty())
	tr.Sample(102, 16*time.Second)
	g.Expect(tr.Lost(rows)).To(BeEmpty())
	tr.Sample(103, 16600*time.Millisecond)
	g.Expect(tr.Lost(rows)).To(HaveLen(1))
}

// Guards against expiring a lease too early: the known age of a version starts with the first
// response that showed it or a later version.
func TestVersionIsNotOlderThanItsFirstSample(t *testing.T) {
	g := NewWithT(t)
	tr := New(config())
	for ms := 0; ms <= 20000; ms += 500 {
		tr.Sample(uint64(1000+ms), time.Duration(ms)*time.Millisecond)
		for _, lost := range tr.Lost(map[string]uint64{"x": 6000}) {
			// Version 6000 was written between 4.5 s and 5 s.
			g.Expect(tr.lastSample - lost.Age).To(BeNumerically(">", 4500*time.Millisecond))
		}
	}
}

// Guards against leases that expire by the versions of a store that went back since: those of
// live holders may have been lost.
func TestAgesStartAnewWhenTheStoreWentBack(t *testing.T) {
	g := NewWithT(t)
	tr := New(config())
	for s := 0; s <= 20; s++ {
		tr.Sample(uint64(100+10*s), time.Duration(s)*time.Second)
	}
	rows := map[string]uint64{"alive": metastore.VersionOf(1, 105)}
	// The store's clock may have gone back too.
	for s := 15; s < 24; s++ {
		tr.Sample(metastore.VersionOf(1, uint64(120+s)), time.Duration(s)*time.Second)
		g.Expect(tr.Lost(rows)).To(BeEmpty(), "%d s", s)
	}
	tr.Sample(metastore.VersionOf(1, 200), 24*time.Second)
	g.Expect(tr.Lost(rows)).To(HaveLen(1))
}
