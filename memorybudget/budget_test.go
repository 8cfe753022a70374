package memorybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func testConfig() Config {
	return Config{Total: 1000, SmallBytes: 50, LargePercent: 70, SmallPercent: 90, SendStall: time.Second}
}

// Load pattern: many clients send large bodies and stop just short of the end; one of them goes on.
func TestThoseThatHoldMostAndMoveLeastAreClosedFirst(t *testing.T) {
	g := NewWithT(t)
	b := New(testConfig())
	var ids []ID
	for i, bytes := range []int64{100, 200, 300} {
		id, d := b.Open(bytes, start.Add(time.Duration(i)*time.Second))
		g.Expect(d).To(Equal(Decision{Answer: Granted}))
		ids = append(ids, id)
	}
	b.Move(ids[2], start.Add(10*time.Second))
	late, _ := b.Open(0, start.Add(10*time.Second))
	d := b.Grow(late, 200, start.Add(10*time.Second))
	g.Expect(d.Answer).To(Equal(Wait), "the closed one still holds its bytes")
	g.Expect(d.Close).To(Equal([]Closed{{ID: ids[1], Bytes: 200, Idle: 9 * time.Second}}), "the largest has just moved, the smallest holds less")
	g.Expect(b.Grow(ids[1], 1, start).Answer).To(Equal(Refused), "it is being closed")
	b.Remove(ids[1])
	g.Expect(b.Grow(late, 200, start.Add(10*time.Second))).To(Equal(Decision{Answer: Granted}))
	g.Expect(b.Used()).To(BeEquivalentTo(600))
}

// Guards against a small request that is refused because large ones hold all, and against a large one that closes small
// connections.
func TestLargeHoldersLeaveRoomForSmallOnes(t *testing.T) {
	g := NewWithT(t)
	b := New(testConfig())
	large, _ := b.Open(690, start)
	b.SetActivity(large, Running, start)
	small, d := b.Open(40, start)
	g.Expect(d.Answer).To(Equal(Granted))
	g.Expect(b.Full()).To(BeTrue())
	g.Expect(b.Grow(large, 100, start.Add(time.Hour)).Answer).To(Equal(Refused), "the small one holds less than half of it")
	g.Expect(b.Grow(small, 10, start).Answer).To(Equal(Granted))
	g.Expect(b.Grow(small, 10, start).Answer).To(Equal(Refused), "it is not small any more")
	g.Expect(b.GrowReserved(small, 260)).To(BeTrue())
	g.Expect(b.GrowReserved(small, 1)).To(BeFalse())
}

// Guards against a connection that is closed while a request of it runs, or while its client reads.
func TestRunningAndSendingHoldersAreNotClosed(t *testing.T) {
	g := NewWithT(t)
	b := New(testConfig())
	running, _ := b.Open(300, start)
	b.SetActivity(running, Running, start)
	sending, _ := b.Open(300, start)
	b.SetActivity(sending, Sending, start)
	late, _ := b.Open(0, start)
	g.Expect(b.Grow(late, 200, start.Add(900*time.Millisecond)).Answer).To(Equal(Refused))
	g.Expect(b.Grow(late, 200, start.Add(time.Second)).Close).To(ConsistOf(HaveField("ID", sending)))
}

// Guards against connections without end that send nothing.
func TestNumberOfHoldersIsBounded(t *testing.T) {
	g := NewWithT(t)
	config := testConfig()
	config.MaxHolders = 2
	b := New(config)
	first, _ := b.Open(1, start)
	second, _ := b.Open(1, start.Add(time.Second))
	b.Move(first, start.Add(2*time.Second))
	_, d := b.Open(1, start.Add(3*time.Second))
	g.Expect(d.Answer).To(Equal(Granted))
	g.Expect(d.Close).To(ConsistOf(HaveField("ID", second)), "it has not moved for longest")
}

// Draws series of events and checks that the total is kept, counts all holders, and that only those that may be closed are.
func TestEveryOrderOfEventsKeepsTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.MaxHolders = rapid.IntRange(0, 6).Draw(t, "max holders")
		b, now := New(config), start
		bytes, activity, closing := map[ID]int64{}, map[ID]Activity{}, map[ID]bool{}
		draw := func() ID { return ID(rapid.IntRange(1, 12).Draw(t, "id")) }
		check := func(d Decision) {
			for _, c := range d.Close {
				if closing[c.ID] || activity[c.ID] == Running || c.Bytes != bytes[c.ID] {
					t.Fatalf("%+v is closed; %v, holds %d", c, activity[c.ID], bytes[c.ID])
				}
				closing[c.ID] = true
			}
		}
		size := rapid.Int64Range(1, 400)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				n := size.Draw(t, "bytes")
				id, d := b.Open(n, now)
				check(d)
				if d.Answer == Granted {
					bytes[id] = n
				}
			},
			"grow": func(t *rapid.T) {
				id, n := draw(), size.Draw(t, "bytes")
				d := b.Grow(id, n, now)
				check(d)
				if d.Answer == Granted {
					bytes[id] += n
				}
			},
			"fits": func(t *rapid.T) {
				if id, n := draw(), size.Draw(t, "bytes"); b.Fits(id, n) {
					bytes[id] += n
				}
			},
			"shrink": func(t *rapid.T) {
				id, n := draw(), size.Draw(t, "bytes")
				b.Shrink(id, n)
				if _, ok := bytes[id]; ok {
					bytes[id] -= min(n, bytes[id])
				}
			},
			"activity": func(t *rapid.T) {
				id := draw()
				if _, ok := bytes[id]; ok {
					activity[id] = rapid.SampledFrom([]Activity{Receiving, Running, Sending}).Draw(t, "activity")
					b.SetActivity(id, activity[id], now)
				}
			},
			"remove": func(t *rapid.T) {
				id := draw()
				b.Remove(id)
				delete(bytes, id)
				delete(activity, id)
			},
			"time": func(*rapid.T) { now = now.Add(300 * time.Millisecond) },
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, n := range bytes {
					sum += n
				}
				// A new connection doesn't wait for those that are being closed.
				if b.Used() != sum || b.Used()-b.closing > config.Total {
					t.Fatalf("%d bytes are used, %d of them are closing, %d in all", b.Used(), b.closing, sum)
				}
			},
		})
	})
}
