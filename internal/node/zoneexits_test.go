package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/verdict"
)

// Guards against a preference of the zone where the configuration does not ask for it, and
// against requests that stay in a zone whose server refuses them.
func TestZoneIsPreferredOnlyIfConfigured(t *testing.T) {
	g := NewWithT(t)
	members := make([]Member, 9)
	for i := range members {
		members[i] = Member{Owner: keyrange.Owner{Instance: fmt.Sprint("i", i)}, Address: fmt.Sprint("address-", i), Zone: "far", Slots: 4}
	}
	members[0].Zone = "near"
	left := func(n *Node) int {
		req := &request{route: &httproute.Route{Name: "r"}, ticket: ticket{service: "s", target: time.Now().Add(time.Second)}}
		left := 0
		for range 100 {
			if n.chooseCandidate(req, members).Zone == "far" {
				left++
			}
		}
		return left
	}
	earlier := New(Config{Instance: "self", Zone: "near", Protocol: simProtocol{}}, zap.NewNop())
	g.Expect(left(earlier)).To(BeNumerically(">", 50))
	n := New(Config{Instance: "self", Zone: "near", Protocol: simProtocol{}, PreferZone: true}, zap.NewNop())
	g.Expect(left(n)).To(BeZero())
	for range 30 {
		n.peers.recordLocalRoom(members[0].Address, outcome{err: verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "")})
	}
	g.Expect(left(n)).To(BeNumerically(">", 80))
}

// Guards against a log line for each request while a zone is nearly full.
func TestZoneExitsAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	z := zoneExits{services: map[string]*zoneExit{}}
	start := time.Unix(0, 0)
	var changes []exitChange
	for i := range 100 {
		change, count := z.observe("s", i%2 == 0 && i < 50, start.Add(time.Duration(i)*100*time.Millisecond))
		if change != exitsUnchanged {
			changes = append(changes, change)
		}
		if change == exitsEnded {
			g.Expect(count).To(Equal(25))
		}
	}
	g.Expect(changes).To(Equal([]exitChange{exitsBegan, exitsEnded}))
}
