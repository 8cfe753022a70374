package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/ownership"
)

// Guards against a send after the lease ended: the check before the send, the grant in
// the message and the check while the request waits for a connection all use the lease.
func TestNothingIsSentWithoutALease(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := &localServer{lease: &leaseClock{}, owner: &ownerWorker{}, serves: func(string) bool { return true }}
	j := &job{deadline: now.Add(time.Minute)}
	s.lease.set(now, now.Add(-time.Millisecond))
	g.Expect(s.checkSend(j, now)).To(MatchError(ownership.ErrLeaseLost))
	g.Expect(s.message(j, 0, now).StillOwned()).To(BeFalse())
	s.lease.set(now, now.Add(time.Minute))
	message := s.message(j, 0, now)
	g.Expect(message.StillOwned()).To(BeTrue())
	s.lease.set(now, time.Time{})
	g.Expect(message.StillOwned()).To(BeFalse())
}

// Guards against a lease that lasts longer because the instance was suspended: the wall
// clock goes on while the monotonic clock stands still.
func TestLeaseEndsByEitherClock(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := &leaseClock{}
	c.set(now, now.Add(time.Second))
	g.Expect(c.valid(now)).To(BeTrue())
	g.Expect(c.valid(now.Add(2 * time.Second))).To(BeFalse())
	g.Expect(c.remaining(now.Round(0).Add(2 * time.Second))).To(BeZero())
}
