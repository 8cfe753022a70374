package node

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/capacity"
	"github.com/basilway/basilway/placement"
)

const (
	// capacityInterval is the interval at which running requests are checked for taking too long.
	capacityInterval = 50 * time.Millisecond
	// minSpeedChange is the ratio of two speeds from which the request queue gets the new one, and
	// reportedSpeedChange the one from which the planner gets a report at once.
	minSpeedChange, reportedSpeedChange = 1.02, 1.5
)

// capacityMeter learns how much load the local backend server handles well, and applies it to the
// request queue. All others that use it, reports and responses to other nodes, ask the meter. It is
// safe for concurrent use. Its methods do nothing on a nil meter, which learns nothing.
type capacityMeter struct {
	queue *requestQueue
	log   *zap.Logger
	// speedChanged is called when the speed differs much from the one of the last call.
	speedChanged func()

	mu          sync.Mutex
	learner     *capacity.Learner // nil before the first incarnation
	incarnation string
	nextID      capacity.ID
	// applied is what the queue uses, announced what was last logged and reported.
	applied, announced capacity.Estimate
	changes            uint64
}

// learnedCapacity is what a node reports about its backend server.
type learnedCapacity struct {
	// Limit is the number of requests up to which the backend server keeps its speed.
	Limit uint32 `cbor:"1,keyasint"`
	// Permille is its present speed, in thousandths of its usual one.
	Permille uint32 `cbor:"2,keyasint"`
}

func newLearnedCapacity(limit int, speed float64) learnedCapacity {
	return learnedCapacity{Limit: uint32(max(limit, 1)), Permille: uint32(max(math.Round(1000*speed), 1))}
}

func (c learnedCapacity) speed() float64 { return float64(c.Permille) / 1000 }

// reset starts to learn anew, for an incarnation.
func (m *capacityMeter) reset(incarnation string, slots int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incarnation == incarnation && m.learner != nil {
		m.learner.SetSlots(slots, time.Now())
		m.applied.InForce = 0 // the caller has set the queue's slots
		m.applyLocked()
		return
	}
	m.learner, m.incarnation = capacity.New(capacity.DefaultConfig(), slots, time.Now()), incarnation
	m.applied = capacity.Estimate{Limit: slots, InForce: slots, Speed: 1}
	m.announced = m.applied
	m.queue.setSlots(slots)
	m.queue.setSpeed(1, nil)
}

// start records a request that is sent to the backend server, and returns the function that records
// its end.
func (m *capacityMeter) start(route string) (done func(completed bool)) {
	if m == nil {
		return func(bool) {}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.learner == nil {
		return func(bool) {}
	}
	learner := m.learner
	m.nextID++
	id := m.nextID
	learner.Start(id, route, time.Now())
	return func(completed bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		learner.Done(id, completed, time.Now())
		m.applyLocked()
	}
}

// observe records the load that the backend server states in a response.
func (m *capacityMeter) observe(incarnation string, percent float64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.learner != nil && m.incarnation == incarnation {
		m.learner.Reported(percent, time.Now())
		m.applyLocked()
	}
}

// run checks regularly for requests that take too long.
func (m *capacityMeter) run(ctx context.Context) {
	if m == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, capacityInterval)
		m.mu.Lock()
		if m.learner != nil {
			m.learner.Advance(time.Now())
			m.applyLocked()
		}
		m.mu.Unlock()
	}
}

// applyLocked makes the queue use what was learned, and logs and reports large changes.
func (m *capacityMeter) applyLocked() {
	e := m.learner.Estimate()
	if e.InForce != m.applied.InForce {
		m.queue.setSlots(e.InForce)
	}
	if !ratioWithin(e.Speed, m.applied.Speed, minSpeedChange) {
		m.queue.setSpeed(e.Speed, m.learner.Usual())
	} else {
		e.Speed = m.applied.Speed
	}
	m.applied = e
	changed := !ratioWithin(e.Speed, m.announced.Speed, reportedSpeedChange)
	if !changed && e.Limit == m.announced.Limit {
		return
	}
	m.log.Info("capacity of backend server learned", zap.String("backend", m.incarnation), zap.Int("limit", e.Limit),
		zap.Float64("speed", e.Speed), zap.Float64("speed before", m.announced.Speed))
	matters := !ratioWithin(placement.EffectiveSpeed(e.Speed), placement.EffectiveSpeed(m.announced.Speed), reportedSpeedChange)
	m.announced = e
	if changed {
		m.changes++
	}
	if matters {
		m.speedChanged()
	}
}

// ratioWithin reports whether two positive numbers differ by less than a ratio.
func ratioWithin(a, b, ratio float64) bool { return a < b*ratio && b < a*ratio }

// learned returns what the meter has learned, and false if it learns nothing.
func (m *capacityMeter) learned() (learnedCapacity, bool) {
	if m == nil {
		return learnedCapacity{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.learner == nil {
		return learnedCapacity{}, false
	}
	return newLearnedCapacity(m.applied.Limit, m.applied.Speed), true
}

// usual returns the usual time of each route's requests, and nil if the meter learns nothing.
func (m *capacityMeter) usual() map[string]time.Duration {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.learner == nil {
		return nil
	}
	return m.learner.Usual()
}

func (m *capacityMeter) speedChanges() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

// learnedCapacityOf returns what was last learned about a member's backend server and how long ago,
// and false if nothing was.
func (n *Node) learnedCapacityOf(m Member, now time.Time) (learnedCapacity, time.Duration, bool) {
	if m.Owner.Instance == n.config.Instance {
		learned, ok := n.backend.capacity.learned()
		return learned, 0, ok
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	s := n.peers.states[m.Address]
	if s == nil || s.load.speed == 0 {
		return learnedCapacity{}, 0, false
	}
	return newLearnedCapacity(s.load.slots, s.load.speed), now.Sub(s.loadAt), true
}

// loadPercentField is the index of the field of a load header with the present time of work.
const loadPercentField = 3

// workPercent decodes from a response how long work takes on the backend server at present, in
// percent of the usual time; false if the response doesn't state it.
func (h Headers) workPercent(header http.Header) (float64, bool) {
	if h.Load == "" {
		return 0, false
	}
	fields := strings.Split(header.Get(h.Load), ",")
	if len(fields) <= loadPercentField {
		return 0, false
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(fields[loadPercentField]), 64)
	return percent, err == nil && percent > 0 && !math.IsInf(percent, 0)
}
