package membership

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/cluster"
)

func newGossips(n int) []*Gossip {
	var members []cluster.Member
	for i := range n {
		members = append(members, cluster.Member{
			Session: cluster.Session{Instance: fmt.Sprintf("i%04d", i), Incarnation: 1},
			Address: fmt.Sprint(i), Zone: fmt.Sprintf("r%d/z%d", i%6, i%22),
		})
	}
	all := make([]*Gossip, n)
	for i, m := range members {
		all[i] = NewGossip(DefaultConfig(), m.Address, m.Region(), nil, rand.New(rand.NewPCG(7, uint64(i))))
		all[i].SetMembers(members)
		all[i].nextDigest = time.Unix(0, 0).Add(time.Duration(i%4) * 250 * time.Millisecond)
	}
	return all
}

func memberIndex(address string) int {
	i, err := strconv.Atoi(address)
	if err != nil {
		panic(err)
	}
	return i
}

// Guards against slow gossip in large clusters: all 1,900 daemons must learn a record within
// 13 s, even if one message in five is lost.
func TestRecordReachesAllDaemons(t *testing.T) {
	g := NewWithT(t)
	const n = 1900
	daemons := newGossips(n)
	loss := rand.New(rand.NewPCG(11, 11))
	known := make([]bool, n)
	fresh := []int{0}
	known[0] = true
	start := time.Unix(0, 0)
	messages, reached := 0, 1
	// A push round takes one round trip, which is well below 250 ms between regions.
	elapsed := time.Duration(0)
	for ; reached < n; elapsed += 250 * time.Millisecond {
		now := start.Add(elapsed)
		g.Expect(elapsed).To(BeNumerically("<", 13*time.Second))
		var next []int
		learn := func(i int) {
			messages++
			if known[i] || loss.Float64() < 0.2 {
				return
			}
			known[i] = true
			reached++
			next = append(next, i)
		}
		for _, i := range fresh {
			for _, peer := range daemons[i].PushTargets("") {
				learn(memberIndex(peer))
			}
		}
		for i, d := range daemons {
			peer, _ := d.Tick(now)
			if peer == "" {
				continue
			}
			if known[i] {
				learn(memberIndex(peer))
			} else if known[memberIndex(peer)] {
				learn(i)
			}
		}
		fresh = next
	}
	t.Logf("reached %d daemons in %s with %.1f messages a daemon", reached, elapsed, float64(messages)/n)
}
