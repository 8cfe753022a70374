package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/attempt"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/placement"
	"github.com/basilway/basilway/verdict"
)

const (
	// maxTries bounds the tries of one request, including those that nodes refuse without
	// sending it to their backend server.
	maxTries = 8
	// ownerChangeWait is the pause before a request whose key changes owner is tried again,
	// unless the view changes earlier.
	ownerChangeWait = 80 * time.Millisecond
	// lostRetryAfter is the Retry-After of requests whose key is owned by an unreachable
	// node; about the time of a restart.
	lostRetryAfter = 600 * time.Millisecond
	// crossZoneCost is added to the expected response time of a backend server in another
	// availability zone: two round trips.
	crossZoneCost = 8 * time.Millisecond
)

// dispatch sends the request to backend servers until one responds, or until another try would
// be useless or is not allowed.
func (n *Node) dispatch(ctx context.Context, req *request) outcome {
	budget := n.budget(req.ticket.service)
	budget.FirstTry()
	n.demand.add(req.ticket, n.expectedWork(req.route.Name))
	req.attempts = attempt.New(attempt.Request{
		Sharded: req.ticket.sharded, Repeatable: req.route.Kind.Repeatable(), Streamed: req.exchange.Stream != nil,
		MaxSends: req.route.MaxAttempts, MaxTries: maxTries,
		Target: req.ticket.target, Deadline: req.ticket.deadline, Work: n.expectedWork(req.route.Name),
	})
	for {
		if err := n.stopGate(req.ticket); err != nil {
			return outcome{err: err}
		}
		out, m := n.tryOnce(ctx, req)
		if out.err == nil {
			return out
		}
		result := attempt.Result{Err: out.err, Arrived: out.arrived, Sent: out.sent || out.arrived}
		if !req.ticket.sharded {
			result.Candidates = len(n.candidates(req))
		}
		action := req.attempts.Failed(result, time.Now())
		req.ticket.retry = req.attempts.Sends > 0
		if ctx.Err() != nil {
			return out
		}
		switch action {
		case attempt.Retry:
			continue
		case attempt.AwaitRoutes:
			refused := n.reroute(ctx, req)
			if refused == nil {
				continue
			}
			out.err = refused
			return out
		case attempt.AwaitOwner:
			n.awaitView(ctx, ownerChangeWait)
			if ctx.Err() == nil {
				continue
			}
		case attempt.RetryWithinBudget:
			if budget.TryRetry(time.Now()) {
				n.events.request("request retried", req.exchange.ID, zap.String("instance", m.Owner.Instance),
					zap.Stringer("verdict", out.err.Verdict), zap.String("reason", string(out.err.Reason)), zap.String("cause", out.err.Message))
				continue
			}
		}
		out.err = req.attempts.Refusal(time.Now())
		return out
	}
}

// tryOnce sends the request to the best candidate and returns the member that it chose.
func (n *Node) tryOnce(ctx context.Context, req *request) (outcome, Member) {
	m, err := n.chooseMember(req)
	if err != nil {
		return outcome{err: err}, m
	}
	req.visited = append(req.visited, m.Owner.Instance)
	started := time.Now()
	out := n.forward(ctx, m, req.ticket, req.exchange)
	if out.load.work > 0 {
		n.observeWork(req.route.Name, out.load.usualWork())
	}
	if out.err == nil {
		// The header is held until the client has read the response. It is passed on in any case.
		inputlimit.FromContext(ctx).TryGrow(inputlimit.ParsedCost(out.resp.Header))
		transfer := out.transfer
		if out = n.buffers.buffer(ctx, out); out.err != nil {
			n.pacer.remove(transfer)
		}
		n.peers.observeOverhead(m.Address, req.route.Kind == httproute.Download, time.Since(started), out.load.work)
	}
	return out, m
}

// awaitView waits up to d for a change of the view.
func (n *Node) awaitView(ctx context.Context, d time.Duration) {
	_, changed := n.views.get()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// chooseMember returns the member to send the request to.
func (n *Node) chooseMember(req *request) (Member, *verdict.Error) {
	if err := n.evacuatedService(n.views.current(), req.ticket.service); err != nil {
		return Member{}, err
	}
	if req.ticket.sharded {
		return n.ownerOf(req)
	}
	candidates := n.candidates(req)
	if len(candidates) == 0 {
		if err := n.regionsOf(req); err != nil {
			return Member{}, err
		}
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "no backend server of %s can be reached", req.ticket.service).WithRetryAfter(notReadyRetryAfter)
	}
	return n.chooseCandidate(req, candidates), nil
}

// ownerOf returns the member that owns the key.
func (n *Node) ownerOf(req *request) (Member, *verdict.Error) {
	t, view := req.ticket, n.views.current()
	table, ok := view.Keys[t.service]
	if !ok {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "the keys of %s are not assigned yet", t.service).WithRetryAfter(notReadyRetryAfter)
	}
	owner := table.Find(t.key).Owner
	m, ok := view.Members[owner.Instance]
	if owner.IsZero() || !ok {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "key %d has no owner", t.key).WithRetryAfter(notReadyRetryAfter)
	}
	if err := n.regionGate(req.route, m); err != nil {
		return m, err
	}
	if err := n.evacuatedGate(view, m, t); err != nil {
		return m, err
	}
	if m.Owner.Instance != n.config.Instance && n.peers.isLost(m.Address) {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "%s, which owns key %d, cannot be reached", m.Owner.Instance, t.key).WithRetryAfter(lostRetryAfter)
	}
	return m, nil
}

// candidates returns the members that may run a request of a service without key ownership
// and were not tried yet. Those whose limit is used up are returned only if there are no
// others, and lost ones only if there are none of these either.
func (n *Node) candidates(req *request) []Member {
	var ready, full, lost []Member
	view, now := n.views.current(), n.now()
	for _, m := range view.ServiceMembers(req.ticket.service) {
		if !n.evacuation.MaySend(view.Evacuated, m.Zone, false, now) || n.regionGate(req.route, m) != nil {
			continue
		}
		_, leaving := n.statuses.leavingFor(m.Owner.Incarnation)
		if m.State != BackendReady || leaving || slices.Contains(req.visited, m.Owner.Instance) {
			continue
		}
		switch {
		case n.peers.isLost(m.Address):
			lost = append(lost, m)
		case !n.peers.hasRoom(m.Address):
			full = append(full, m)
		default:
			ready = append(ready, m)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	if len(full) > 0 {
		return full
	}
	return lost
}

// chooseCandidate returns the member to send the request to. Downloads stay in the
// node's availability zone as long as it has candidates. With PreferZone, other requests stay
// there as long as one of them is expected to answer in time.
func (n *Node) chooseCandidate(req *request, members []Member) Member {
	if near := n.inZone(members); req.route.Kind == httproute.Download && len(near) > 0 {
		members = near
	}
	work := n.expectedWork(req.route.Name)
	candidates := make([]placement.Candidate, len(members))
	for i, m := range members {
		c := n.peers.candidate(m.Address, work, req.route.Kind == httproute.Download, time.Now())
		if m.Owner.Instance == n.config.Instance {
			load := n.backend.queue.load()
			c.Reported, c.Age, c.Rate = load.running+load.waiting, 0, load.coldRate
		}
		c.Slots = max(m.Slots, 1)
		if learned, age, ok := n.learnedCapacityOf(m, time.Now()); ok {
			c = c.WithCapacity(int(learned.Limit), learned.speed(), age)
		}
		c.Near = m.Zone == n.config.Zone
		if !c.Near && !n.config.PreferZone {
			c.Overhead += crossZoneCost
		}
		candidates[i] = c
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	if !n.config.PreferZone {
		return members[placement.Choose(candidates, rng)]
	}
	chosen := placement.ChooseNear(candidates, time.Until(req.ticket.target), rng)
	n.countZone(req.ticket.service, candidates, chosen)
	return members[chosen]
}

// countZone counts the choice of a candidate by its availability zone and logs when requests
// begin and end to leave the node's.
func (n *Node) countZone(service string, candidates []placement.Candidate, chosen int) {
	n.metrics.countZone(service, candidates[chosen].Near)
	hasNear := slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return c.Near })
	left := hasNear && !candidates[chosen].Near
	switch change, count := n.zoneExits.observe(service, left, time.Now()); change {
	case exitsBegan:
		n.log.Info("requests leave the availability zone", zap.String("service", service), zap.Int("candidates", len(candidates)))
	case exitsEnded:
		n.log.Info("requests stay in the availability zone again", zap.String("service", service), zap.Int("left", count))
	}
}

// inZone returns the members in the node's availability zone.
func (n *Node) inZone(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.Zone == n.config.Zone {
			out = append(out, m)
		}
	}
	return out
}

// isLost reports whether a peer is unreachable at present.
func (p *peers) isLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	return s != nil && s.lost
}

// candidate returns what is known of the backend server of a peer.
func (p *peers) candidate(address string, work time.Duration, large bool, now time.Time) placement.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.getLocked(address)
	c := placement.Candidate{
		Work: work, Outstanding: s.outstanding, FailureRate: s.failureRate, Overhead: s.overheads[large].value(now),
		RefusalRate: s.refusals.Rate(now),
	}
	if s.load.known {
		c.Rate = s.load.coldRate
		c.Reported, c.Age = s.load.running+s.load.waiting, now.Sub(s.loadAt)
	}
	if s.slowness > 0 {
		c.Work = time.Duration(s.slowness * float64(work))
	}
	return c
}
