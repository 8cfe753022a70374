package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/placement"
	"github.com/basilway/basilway/retry"
	"github.com/basilway/basilway/verdict"
)

const (
	// maxTries bounds the nodes that are asked for one request, including those that
	// refuse it without sending it to their backend server.
	maxTries = 8
	// ownerWait is the pause before a request whose key is changing owner is tried again,
	// unless the view changes before.
	ownerWait = 80 * time.Millisecond
	// lostRetryAfter is when callers may come back whose key is owned by a node that cannot
	// be reached; about the time of a restart.
	lostRetryAfter = 600 * time.Millisecond
	// farZone is the cost of a request to another availability zone, as time; two round
	// trips.
	farZone = 8 * time.Millisecond
)

// route sends the request to backend servers until one answers or trying again has no use.
func (n *Node) route(ctx context.Context, req *request) outcome {
	budget := n.budget(req.ticket.service)
	budget.FirstTry()
	n.demand.add(req.ticket, n.nominalWork(req.route.Name))
	var last outcome
	for {
		out, m := n.try(ctx, req)
		if out.err == nil {
			return out
		}
		if out.err.Reason == verdict.ReasonNoOwner && last.err != nil && !req.ticket.sharded {
			return last // all that could run it have refused
		}
		last = out
		req.tries++
		if out.arrived {
			req.sends++
			req.ticket.repeat = true
			req.ran = req.ran || out.err.Verdict != verdict.NotRun
		}
		if !n.again(ctx, req, out, m, budget) {
			return out
		}
	}
}

// try sends the request to the best backend server once.
func (n *Node) try(ctx context.Context, req *request) (outcome, Member) {
	m, err := n.choose(req)
	if err != nil {
		return outcome{err: err}, m
	}
	req.visited = append(req.visited, m.Owner.Instance)
	started := time.Now()
	out := n.hop(ctx, m, req.ticket, req.exchange)
	if out.load.work > 0 {
		n.noteWork(req.route.Name, out.load.work)
	}
	if out.err == nil {
		transfer := out.transfer
		if out = hold(out); out.err != nil {
			n.pacer.leave(transfer)
		}
		n.peers.noteOverhead(m.Address, req.route.Kind == httproute.Download, time.Since(started), out.load.work)
	}
	return out, m
}

// again decides whether the request is tried again, and waits before if it is to.
func (n *Node) again(ctx context.Context, req *request, out outcome, m Member, budget *retry.SharedBudget) bool {
	e := out.err
	switch {
	case ctx.Err() != nil || req.exchange.Stream != nil && out.arrived:
		return false
	case e.Verdict == verdict.NotRun && !out.arrived:
		return n.againElsewhere(ctx, req, e)
	case e.Verdict != verdict.NotRun && !req.route.Kind.Repeatable():
		return false
	case req.sends >= max(req.route.MaxAttempts, 1):
		return false
	}
	// A repeat must leave time for the backend server.
	if time.Until(req.ticket.deadline) < n.nominalWork(req.route.Name)/2 || !budget.TryRetry(time.Now()) {
		return false
	}
	n.events.request("request repeated", req.exchange.ID, zap.String("instance", m.Owner.Instance),
		zap.Stringer("verdict", e.Verdict), zap.String("reason", string(e.Reason)), zap.String("cause", e.Message))
	return true
}

// againElsewhere decides about a request that no backend server has seen.
func (n *Node) againElsewhere(ctx context.Context, req *request, e *verdict.Error) bool {
	if req.tries >= maxTries || time.Until(req.ticket.target) <= 0 {
		return false
	}
	if !req.ticket.sharded {
		switch e.Reason {
		case verdict.ReasonOverloaded, verdict.ReasonBackendDown, verdict.ReasonDraining, verdict.ReasonPeerLost, verdict.ReasonStarting:
			return len(n.candidates(req)) > 0
		}
		return false
	}
	switch e.Reason {
	case verdict.ReasonNotOwner, verdict.ReasonBackendDown, verdict.ReasonDraining:
		n.awaitView(ctx, ownerWait)
		return ctx.Err() == nil
	}
	return false
}

// awaitView waits for a change of the view, at most d.
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

// choose returns the member to send the request to.
func (n *Node) choose(req *request) (Member, *verdict.Error) {
	if req.ticket.sharded {
		return n.ownerOf(req.ticket)
	}
	candidates := n.candidates(req)
	if len(candidates) == 0 {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "no backend server of %s can be reached", req.ticket.service).WithRetryAfter(notReadyRetryAfter)
	}
	return n.nearestFree(req, candidates), nil
}

// ownerOf returns the member that owns the key.
func (n *Node) ownerOf(t ticket) (Member, *verdict.Error) {
	view := n.views.current()
	table, ok := view.Keys[t.service]
	if !ok {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "the keys of %s are not assigned yet", t.service).WithRetryAfter(notReadyRetryAfter)
	}
	owner := table.Find(t.key).Owner
	m, ok := view.Members[owner.Instance]
	if owner.None() || !ok {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "key %d has no owner", t.key).WithRetryAfter(notReadyRetryAfter)
	}
	if m.Owner.Instance != n.config.Instance && n.peers.isLost(m.Address) {
		return Member{}, verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "%s, which owns key %d, cannot be reached", m.Owner.Instance, t.key).WithRetryAfter(lostRetryAfter)
	}
	return m, nil
}

// candidates returns the members that may run a request of a service without key
// ownership and were not tried yet.
func (n *Node) candidates(req *request) []Member {
	var ready, rest []Member
	for _, m := range n.views.current().ServiceMembers(req.ticket.service) {
		if m.State != BackendReady || slices.Contains(req.visited, m.Owner.Instance) {
			continue
		}
		if n.peers.isLost(m.Address) {
			rest = append(rest, m)
		} else {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return rest
	}
	return ready
}

// nearestFree returns the candidate to send the request to. Large answers stay in the
// availability zone as long as a server of it has not refused the request.
func (n *Node) nearestFree(req *request, members []Member) Member {
	if near := n.inZone(members); req.route.Kind == httproute.Download && len(near) > 0 {
		members = near
	}
	work := n.nominalWork(req.route.Name)
	candidates := make([]placement.Candidate, len(members))
	for i, m := range members {
		c := n.peers.candidate(m.Address, work, req.route.Kind == httproute.Download, time.Now())
		if m.Owner.Instance == n.config.Instance {
			load := n.backend.lane.load()
			c.Reported, c.Age = load.running+load.waiting, 0
		}
		c.Slots = max(m.Slots, 1)
		if m.Zone != n.config.Zone {
			c.Distance += farZone
		}
		candidates[i] = c
	}
	return members[placement.Choose(candidates, rand.New(rand.NewPCG(rand.Uint64(), 0)))]
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

// isLost reports whether a node cannot be reached at present.
func (p *peers) isLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	return s != nil && s.lost
}

// candidate returns what is known of the backend server beside a node.
func (p *peers) candidate(address string, work time.Duration, large bool, now time.Time) placement.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	c := placement.Candidate{Work: work, Outstanding: s.outstanding, Failing: s.failing, Distance: s.overheads[large].value(now)}
	if s.load.known {
		c.Reported, c.Age = s.load.running+s.load.waiting, now.Sub(s.loadAt)
	}
	if s.work > 0 {
		c.Work = s.work
	}
	return c
}
