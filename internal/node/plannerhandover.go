package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// plannerRoleMinTime is how long a node has the planner role before it hands it over, so that it
	// knows who reports.
	plannerRoleMinTime = 1500 * time.Millisecond
	// largerInstanceRatio is the least ratio of the processor shares at which the role is handed over.
	largerInstanceRatio = 1.5
)

// handOver gives the planner role to a larger instance, if there is one. The planner gets the reports
// of all nodes and distributes all rows, which would leave a small one too little time for requests.
func (p *planner) handOver(ctx context.Context) {
	view := p.node.views.current()
	successor, ok := p.largerMember(view, time.Now())
	if !ok {
		return
	}
	version, err := p.writePlanner(ctx, view, successor.Owner.Instance)
	if err != nil {
		p.log.Info("planner role not handed over", zap.String("to", successor.Owner.Instance), zap.Error(err))
		return
	}
	p.log.Info("planner role handed over to a larger instance", zap.String("to", successor.Owner.Instance),
		zap.Float64("cores", successor.Cores), zap.Float64("own cores", p.node.config.Cores), zap.Uint64("version", version))
}

// largerMember returns the largest ready member that has reported lately, if it is clearly larger than
// this instance.
func (p *planner) largerMember(view *View, now time.Time) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node.config.Cores <= 0 || now.Sub(p.roleSince) < plannerRoleMinTime {
		return Member{}, false
	}
	var candidates []Member
	for instance, m := range view.Members {
		state := p.renewals[instance]
		reported := state != nil && now.Sub(state.lastReport) < 2*reportInterval(len(view.Members))
		if m.State == BackendReady && reported && m.Cores >= largerInstanceRatio*p.node.config.Cores {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(b.Owner.Instance, a.Owner.Instance))
	}), true
}
