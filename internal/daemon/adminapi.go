package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/feed"
	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/keyspace"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/verdict"
)

// fencePollInterval is how often Fence checks whether the members have been removed.
const fencePollInterval = 50 * time.Millisecond

// adminAPI implements AdminService.
type adminAPI struct {
	daemon *Daemon
}

// GetStatus implements AdminService.
func (a *adminAPI) GetStatus(ctx context.Context, _ *connect.Request[basilwayv1.GetStatusRequest]) (*connect.Response[basilwayv1.GetStatusResponse], error) {
	d := a.daemon
	s := d.current.Load()
	state := d.replicas.cluster()
	remaining := s.lease.clock.remaining(time.Now())
	response := &basilwayv1.GetStatusResponse{
		Instance: s.session.Instance, Incarnation: fmt.Sprintf("%016x", s.session.Incarnation), Zone: d.config.Zone,
		LeaseState: "none", LeaseRemainingMs: uint32(remaining.Milliseconds()),
		LeaseWitnesses: uint32(s.witnesses(ctx).Size()),
		ClusterVersion: state.Version, CatalogueVersion: d.replicas.catalogue().Version(), Planner: state.Planner.Instance,
		RangesOwned: uint32(len(state.UnitsOf(s.session))), RequestsInFlight: uint32(s.inFlight.len()),
		Draining: s.draining.Load(), BackendState: d.backend.stateName(), StoreReachable: a.storeReachable(ctx),
	}
	if remaining > 0 {
		response.LeaseState = "valid"
	}
	for _, m := range state.SortedMembers() {
		response.Members = append(response.Members, &basilwayv1.MemberStatus{
			Instance: m.Session.Instance, Incarnation: fmt.Sprintf("%016x", m.Session.Incarnation), Address: m.Address,
			Zone: m.Zone, Service: m.Service, Slots: m.Slots, State: m.State.String(),
		})
	}
	return connect.NewResponse(response), nil
}

// witnesses returns the witness set of the session's lease.
func (s *sessionRuntime) witnesses(ctx context.Context) lease.WitnessSet {
	result := make(chan lease.WitnessSet, 1)
	if s.lease.mailbox.do(ctx, func() { result <- s.lease.holder.WitnessSet() }) != nil {
		return lease.WitnessSet{}
	}
	return <-result
}

func (a *adminAPI) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := a.daemon.replicas.loader.HeadVersion(ctx, feed.TopicCluster)
	return err == nil
}

// GetOwners implements AdminService.
func (a *adminAPI) GetOwners(_ context.Context, req *connect.Request[basilwayv1.GetOwnersRequest]) (*connect.Response[basilwayv1.GetOwnersResponse], error) {
	state := a.daemon.replicas.cluster()
	response := &basilwayv1.GetOwnersResponse{ClusterVersion: state.Version}
	service := state.Services[req.Msg.Service]
	if service == nil {
		return nil, callError(verdict.New(verdict.NotRun, verdict.ReasonUnknownService,
			"no instance serves %q at cluster version %d", req.Msg.Service, state.Version))
	}
	if req.Msg.Key != "" {
		owned, unit := state.Owner(req.Msg.Service, keyspace.Hash(req.Msg.Service, req.Msg.Key))
		response.Ranges = []*basilwayv1.RangeOwner{rangeOwner(unit, owned)}
		return connect.NewResponse(response), nil
	}
	for _, r := range service.Ranges {
		response.Ranges = append(response.Ranges, rangeOwner(cluster.Unit{Service: req.Msg.Service, Start: r.Start}, r.Ownership))
	}
	for _, h := range service.HotKeys {
		response.Ranges = append(response.Ranges, rangeOwner(cluster.Unit{Service: req.Msg.Service, Start: h.Hash, Hot: true}, h.Ownership))
	}
	return connect.NewResponse(response), nil
}

func rangeOwner(unit cluster.Unit, o cluster.Ownership) *basilwayv1.RangeOwner {
	return &basilwayv1.RangeOwner{
		Service: unit.Service, Start: unit.Start, HotKey: unit.Hot, Instance: o.Owner.Instance,
		Epoch: o.Epoch, MovingTo: o.MovingTo.Instance,
	}
}

// Drain implements AdminService. It returns when no units are left, after
// moveAwayTimeout, or when ctx ends; the drain continues in any case.
func (a *adminAPI) Drain(ctx context.Context, _ *connect.Request[basilwayv1.DrainRequest]) (*connect.Response[basilwayv1.DrainResponse], error) {
	d := a.daemon
	d.drainRequested.Store(true)
	s := d.current.Load()
	s.drain()
	select {
	case <-s.owner.drained:
	case <-time.After(moveAwayTimeout):
	case <-ctx.Done():
	}
	left := len(d.replicas.cluster().UnitsOf(s.session))
	return connect.NewResponse(&basilwayv1.DrainResponse{RangesLeft: uint32(left)}), nil
}

// Fence implements AdminService. It returns when the members have been removed, or with an
// error when ctx ends.
func (a *adminAPI) Fence(ctx context.Context, req *connect.Request[basilwayv1.FenceRequest]) (*connect.Response[basilwayv1.FenceResponse], error) {
	s := a.daemon.current.Load()
	targets := a.fenceTargets(req.Msg)
	if len(targets) == 0 {
		return nil, callError(verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"no member matches instance %q, zone %q", req.Msg.Instance, req.Msg.Zone))
	}
	for _, target := range targets {
		if target == s.session {
			return nil, callError(verdict.New(verdict.NotRun, verdict.ReasonInvalid,
				"a daemon cannot fence itself; ask another one"))
		}
		if err := s.plan.fence(ctx, target); err != nil {
			return nil, callError(err)
		}
	}
	if err := a.waitFenced(ctx, targets); err != nil {
		return nil, callError(verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "not fenced yet: %v", err))
	}
	response := &basilwayv1.FenceResponse{}
	for _, target := range targets {
		response.Fenced = append(response.Fenced, target.String())
	}
	return connect.NewResponse(response), nil
}

func (a *adminAPI) fenceTargets(m *basilwayv1.FenceRequest) []cluster.Session {
	var targets []cluster.Session
	for _, member := range a.daemon.replicas.cluster().SortedMembers() {
		if m.Instance != "" && member.Session.Instance == m.Instance || m.Zone != "" && member.Zone == m.Zone {
			targets = append(targets, member.Session)
		}
	}
	return targets
}

func (a *adminAPI) waitFenced(ctx context.Context, targets []cluster.Session) error {
	for {
		left := 0
		for _, target := range targets {
			if _, present := a.daemon.replicas.cluster().Members[target]; present {
				left++
			}
		}
		if left == 0 {
			return nil
		}
		if err := sleepContext(ctx, fencePollInterval); err != nil {
			return errors.Join(fmt.Errorf("%d sessions are left", left), err)
		}
	}
}
