package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/membership/expiry"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/placement"
	"github.com/basilway/basilway/takeover"
)

const (
	// planInterval is the longest time between two planning rounds.
	planInterval = 400 * time.Millisecond
	// leasePollInterval is the time between two reads of all leases while a member is
	// silent, and leaseIdlePollInterval the time between them while all members report. Each
	// read is a priced call.
	leasePollInterval     = time.Second
	leaseIdlePollInterval = 10 * time.Second
	// firstAssignWait is how long the first key assignment of a service waits for more
	// backend servers to announce themselves.
	firstAssignWait = 1200 * time.Millisecond
	// planWriteTimeout bounds the attempts to write a plan; after that the plan is out of
	// date.
	planWriteTimeout = 1500 * time.Millisecond
	// plannerStaleAfter is the age of the planner's lease row at which another node takes
	// the planner role; the planner renews the row every renewInterval.
	// reachableBeforeTakeover is how long the store must have been reachable by then, so that
	// the planner can renew after an outage.
	plannerStaleAfter       = 3 * time.Second
	reachableBeforeTakeover = time.Second
)

// planner assigns and moves keys, and removes members whose leases expired, while this
// node has the planner role. A second planner is harmless, because all its writes are
// conditional.
type planner struct {
	node *Node
	log  *zap.Logger

	mu                 sync.Mutex
	expiry             *expiry.Tracker
	demand, slowDemand map[string]*placement.Demand        // by service, over a short and a long window
	workTimes          map[string]map[string]time.Duration // by instance and route
	cold               map[string]bool                     // by instance
	limits             map[string]*float64                 // in requests per second, by instance; nil without one
	vouched            map[string]vouchedReport            // by instance, until they are recorded
	firstSeen          map[string]time.Time                // when a service first had members
	learned            map[string]learnedCapacity          // by instance, of nodes that learn it
	// slowed is when an instance's backend server last became much slower.
	slowed   map[string]time.Time
	renewals map[string]*renewalState // by instance
	// roleSince is when this node last got the planner role.
	roleSince time.Time
	// lastSample is when this node last learned the store's version.
	lastSample  time.Time
	lastBalance map[string]time.Time // by service
	// speedChanged starts a planning round when a backend server became much slower.
	speedChanged  broadcast
	lastLeasePoll time.Time
}

func newPlanner(n *Node) *planner {
	p := &planner{node: n, log: n.log.Named("planner"), expiry: expiry.New(expiry.Config{
		ExpireAfter: leaseDuration, MaxGap: storeMaxGap, Reachable: reachableBeforeFence, Resolution: sampleResolution,
	})}
	p.reset()
	return p
}

func (p *planner) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand, p.slowDemand = map[string]*placement.Demand{}, map[string]*placement.Demand{}
	p.workTimes = map[string]map[string]time.Duration{}
	p.cold, p.limits = map[string]bool{}, map[string]*float64{}
	p.learned, p.slowed = map[string]learnedCapacity{}, map[string]time.Time{}
	p.vouched = map[string]vouchedReport{}
	p.firstSeen = map[string]time.Time{}
	p.lastBalance = map[string]time.Time{}
	p.renewals = map[string]*renewalState{}
	p.roleSince = time.Now()
}

const (
	// reachableBeforeFence is how long the store must have been reachable before a lease
	// counts as expired: after an outage, live holders need a moment to renew.
	reachableBeforeFence = 2500 * time.Millisecond
	// storeMaxGap is the time without a response after which the store counts as
	// unreachable. It is longer than the interval of lease renewals.
	storeMaxGap = 3 * time.Second
	// sampleResolution is the shortest time between two recorded samples of the store's
	// newest version.
	sampleResolution = 250 * time.Millisecond
)

// sample records the newest version of the store at now, a time by the store's clock.
func (p *planner) sample(version uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sampleLocked(version, now)
}

func (p *planner) sampleLocked(version uint64, now time.Duration) {
	p.expiry.Sample(version, now)
	p.lastSample = time.Now()
}

// handleReport records a node's report and returns the response to it.
func (p *planner) handleReport(r report) reportResponse {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, keys := range r.Demand {
		d := p.demand[service]
		if d == nil {
			d = placement.NewDemand(placement.DefaultConfig().Window, now)
			p.demand[service], p.slowDemand[service] = d, placement.NewDemand(placement.DefaultConfig().SlowWindow, now)
		}
		for _, k := range keys {
			work := time.Duration(k.Micros) * time.Microsecond
			d.Add(k.Key, work, int(k.Requests), now)
			p.slowDemand[service].Add(k.Key, work, int(k.Requests), now)
		}
	}
	routeWork := map[string]time.Duration{}
	for route, micros := range r.Work {
		routeWork[route] = time.Duration(micros) * time.Microsecond
	}
	p.workTimes[r.Instance], p.cold[r.Instance], p.limits[r.Instance] = routeWork, r.Cold, r.Limit
	p.recordLearned(r, now)
	if len(r.Vouched) > 0 {
		p.vouched[r.Instance] = vouchedReport{r.Generation, r.Vouched}
	}
	if r.DesiredReadAge != nil {
		p.node.newestRead.record(now.Add(-time.Duration(*r.DesiredReadAge) * time.Millisecond))
	}
	if age, known := p.node.desiredStateReadAge(); known {
		p.node.newestRead.record(now.Add(-age))
	}
	response := p.recordRenewalRequest(r, now)
	response.DesiredReadAge = milliseconds(p.node.newestRead.age(now))
	return response
}

// tryBecomePlanner takes the planner role if no node has it, if the planner does not renew its lease
// row, or if it accepts no reports of most nodes. Without checkLease, it reads the lease rows only once
// other nodes have told that the last is so.
func (p *planner) tryBecomePlanner(ctx context.Context, checkLease bool) {
	view := p.node.views.current()
	if _, member := view.Members[p.node.config.Instance]; !member || p.node.lease.validUntil().IsZero() || p.node.stopping.Load() {
		// A node becomes a member first: when it writes its member row, it lists the
		// cluster again and learns whether there is a planner.
		return
	}
	reason := takeoverVacant
	if view.Planner.Instance != "" {
		var gone bool
		if reason, gone = p.plannerGone(ctx, view, checkLease); !gone {
			return
		}
	}
	version, err := p.writePlanner(ctx, view, p.node.config.Instance)
	if err != nil {
		p.log.Info("planner role not taken", zap.String("planner", view.Planner.Instance), zap.Error(err))
		return
	}
	p.node.metrics.countTakeover(reason)
	p.log.Info("planner role taken", zap.String("from", view.Planner.Instance), zap.String("reason", string(reason)), zap.Uint64("version", version))
}

// writePlanner gives the planner role to an instance, on the condition that the view shows who has it.
// The view shows the result; after a conflict, it shows who has the role.
func (p *planner) writePlanner(ctx context.Context, view *View, instance string) (version uint64, err error) {
	value, err := cbor.Marshal(PlannerRow{Instance: instance})
	if err != nil {
		return 0, fmt.Errorf("encode planner row: %w", err)
	}
	applied, err := p.node.store.Apply(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: plannerKey, Version: view.Planner.Version}},
		Writes:     []metastore.Write{{Key: plannerKey, Value: value}},
	})
	if err != nil {
		p.node.views.apply(metastore.ConflictRows(err)...)
		return 0, err
	}
	p.node.views.apply(metastore.Row{Key: plannerKey, Value: value, Version: applied.Version})
	return applied.Version, nil
}

// plannerGone reports whether the planner has no lease row, did not renew it for plannerStaleAfter or
// accepts no reports of most nodes, and which of these it is.
func (p *planner) plannerGone(ctx context.Context, view *View, checkLease bool) (reason takeoverReason, gone bool) {
	instance := view.Planner.Instance
	inquiry := p.inquire(ctx, view)
	if !checkLease && inquiry.decide(false).Outcome != takeover.Take {
		return "", false
	}
	listing, relayed, err := p.node.store.list(ctx, leaseTable)
	if err != nil {
		p.log.Debug("leases not read", zap.Error(err))
		return "", false
	}
	p.sample(listing.Version, listing.Now)
	version, ok := leaseVersions(listing)[instance]
	if !ok {
		return takeoverNoLease, true
	}
	p.mu.Lock()
	age, reachable := p.expiry.Age(version), p.expiry.Reachable()
	p.mu.Unlock()
	p.log.Info("planner does not accept reports", zap.String("planner", instance),
		zap.Duration("lease not renewed for", age), zap.Duration("store reachable for", reachable))
	if age >= plannerStaleAfter && reachable >= reachableBeforeTakeover {
		return takeoverStaleLease, true
	}
	decision := inquiry.decide(relayed)
	if inquiry.asked == 0 {
		return "", false
	}
	p.log.Info("other nodes asked about the planner", zap.String("planner", instance), zap.Stringer("outcome", decision.Outcome),
		zap.Int("asked", decision.Asked), zap.Int("silent", decision.Silent), zap.Int("reached", decision.Reached),
		zap.Int("unknown", decision.Unknown), zap.Durations("last accepted reports", inquiry.lastAccepted()))
	// The role may have changed while the nodes were asked.
	return takeoverUnreachable, decision.Outcome == takeover.Take && p.node.views.current().Planner == view.Planner
}

// leaseVersions returns the version of each lease row by instance.
func leaseVersions(listing metastore.Listing) map[string]uint64 {
	out := map[string]uint64{}
	for _, row := range listing.Rows {
		if instance, ok := leaseHolder(row.Key); ok {
			out[instance] = row.Version
		}
	}
	return out
}

// run plans while this node has the planner role.
func (p *planner) run(ctx context.Context) {
	hadRole := false
	for ctx.Err() == nil {
		view, changed := p.node.views.get()
		speeds := p.speedChanged.wait()
		hasRole := view.Planner.Instance == p.node.config.Instance
		if hasRole && !hadRole {
			p.reset()
		}
		hadRole = hasRole
		if hasRole && view.Listed && view.Routes != nil {
			p.handOver(ctx)
			p.confirmVouched(ctx)
			p.fenceLost(ctx)
			for _, service := range p.node.views.current().Routes.ShardedServices() {
				p.plan(ctx, service)
			}
		}
		timer := time.NewTimer(planInterval)
		select {
		case <-changed:
		case <-speeds:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// plan computes and writes the next changes for a service.
func (p *planner) plan(ctx context.Context, service string) {
	for ctx.Err() == nil {
		changes := p.nextChanges(service, time.Now())
		if len(changes) == 0 {
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, planWriteTimeout)
		err := p.node.writer.update(writeCtx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
			for _, c := range changes {
				next, err := c.Apply(t)
				if err != nil {
					return nil, metastore.Txn{}, err
				}
				t = next
			}
			return t, metastore.Txn{}, nil
		})
		cancel()
		if err == nil {
			for _, c := range changes {
				p.log.Info("keys planned", zap.String("service", service), zap.Uint16("from", c.Span.From), zap.Uint16("to", c.Span.To),
					zap.String("owner", c.From.Instance), zap.String("next", c.To.Instance))
			}
			return
		}
		if errors.Is(err, keyrange.ErrOwned) || errors.Is(err, keyrange.ErrNotOwner) || errors.Is(err, keyrange.ErrMoving) {
			continue // the table changed after the plan was computed
		}
		p.log.Info("plan not written", zap.String("service", service), zap.Error(err))
		return
	}
}

// nextChanges computes the next changes for a service from the current view and load.
func (p *planner) nextChanges(service string, now time.Time) []placement.Change {
	view := p.node.views.current()
	table := keyrange.NewSpace()
	if have, ok := view.Keys[service]; ok {
		table = have.Space
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	config, members := placement.DefaultConfig(), view.ServiceMembers(service)
	in := placement.Input{Space: table, Loads: map[uint16]float64{}}
	if d := p.demand[service]; d != nil {
		in.Loads = d.Loads(now)
		if !d.WarmedUp(now) && len(members) >= config.UrgentMinMembers {
			in.Loads = d.EarlyLoads(now)
		}
		if slow := p.slowDemand[service]; slow.WarmedUp(now) {
			in.SlowLoads = slow.Loads(now)
		}
	}
	var meanWork time.Duration
	if d := p.demand[service]; d != nil {
		meanWork = d.MeanWork(now)
	}
	for _, m := range members {
		if m.State != BackendReady && m.State != BackendDraining {
			continue
		}
		member := placement.Member{
			Owner: m.Owner, Slots: m.Slots, Speed: p.speed(members, m), Draining: m.State == BackendDraining,
			Evacuated: view.Evacuated.Leaving(m.Zone), Cold: p.cold[m.Owner.Instance],
		}
		p.applyLearned(&member, now)
		if limit := p.limits[m.Owner.Instance]; limit != nil {
			member.Limited, member.MaxLoad = true, *limit*meanWork.Seconds()
		}
		in.Members = append(in.Members, member)
	}
	if len(in.Members) == 0 {
		return nil
	}
	if p.firstSeen[service].IsZero() {
		p.firstSeen[service] = now
	}
	if len(table.Owners()) == 0 && now.Sub(p.firstSeen[service]) < firstAssignWait {
		return nil
	}
	config.BalanceInterval = p.balanceInterval(now)
	if d := p.demand[service]; d != nil {
		in.Balance = config.BalanceDue(in, d.Age(now), now.Sub(p.lastBalance[service]))
	}
	changes := p.withoutUnsettled(table, placement.Plan(in, config))
	if in.Balance {
		p.log.Info("load", zap.Strings("members", placement.Describe(in)), zap.Int("changes", len(changes)))
		p.lastBalance[service] = now
	}
	return changes
}
