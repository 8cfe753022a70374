package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// delivery is what became of one message.
type delivery struct {
	received           map[string]int
	sent, mostSent     int // messages, and the most that one node sent
	crossZone, longest int
}

// deliver passes a message on from node 0 as nodes do.
func deliver(nodes, zones, fanout int) delivery {
	zoneOf := func(i int) string { return fmt.Sprint("zone-", i%zones) }
	zoneOfAddress := map[string]string{}
	var targets []RelayTarget
	for i := range nodes {
		zoneOfAddress[fmt.Sprint(i)] = zoneOf(i)
		if i > 0 {
			targets = append(targets, RelayTarget{fmt.Sprint(i), zoneOf(i)})
		}
	}
	d := delivery{received: map[string]int{}}
	var send func(from string, groups [][]string, hops int)
	send = func(from string, groups [][]string, hops int) {
		d.mostSent = max(d.mostSent, len(groups))
		for _, group := range groups {
			d.sent++
			d.received[group[0]]++
			d.longest = max(d.longest, hops)
			if zoneOfAddress[group[0]] != zoneOfAddress[from] {
				d.crossZone++
			}
			send(group[0], RelayGroups(group[1:], fanout), hops+1)
		}
	}
	send("0", ZoneRelayGroups(targets, zoneOf(0), fanout), 1)
	return d
}

// Guards against messages between nodes that grow faster than their number, against a sender that
// sends to all, and against rows that cross between availability zones more than once.
func TestRelayReachesEachNodeOnce(t *testing.T) {
	for _, size := range []struct{ nodes, zones, hops int }{{2, 1, 1}, {11, 3, 2}, {82, 3, 3}, {295, 5, 4}, {1900, 22, 4}} {
		g := NewWithT(t)
		d := deliver(size.nodes, size.zones, 12)
		g.Expect(d.received).To(HaveLen(size.nodes - 1))
		g.Expect(d.sent).To(Equal(size.nodes-1), "each node gets the message once")
		g.Expect(d.crossZone).To(Equal(min(size.zones, size.nodes) - 1))
		g.Expect(d.mostSent).To(BeNumerically("<=", 12+size.zones))
		g.Expect(d.longest).To(BeNumerically("<=", size.hops))
	}
}
