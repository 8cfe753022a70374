package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/takeover"
)

// takeoverReason is why a node took the planner role.
type takeoverReason string

const (
	// takeoverVacant means that no node had the role.
	takeoverVacant takeoverReason = "vacant"
	// takeoverNoLease means that the planner has no lease row, takeoverStaleLease that it did not
	// renew it.
	takeoverNoLease    takeoverReason = "no_lease"
	takeoverStaleLease takeoverReason = "stale_lease"
	// takeoverUnreachable means that most of the nodes that were asked get no report accepted.
	takeoverUnreachable takeoverReason = "unreachable"
)

// plannerQuestion asks another node when the planner last accepted a report of it.
type plannerQuestion struct {
	// Instance is the node that asks.
	Instance string `cbor:"1,keyasint"`
}

// plannerContactMessage is the response to a plannerQuestion. Times are in milliseconds.
type plannerContactMessage struct {
	// Planner is the version of the row that names the planner, Known the time since the node first
	// saw it.
	Planner uint64 `cbor:"1,keyasint"`
	Known   uint32 `cbor:"2,keyasint"`
	// Silent is the time since this planner last accepted a report; nil if it never did.
	Silent *uint32 `cbor:"3,keyasint,omitempty"`
}

func (m plannerContactMessage) answer() takeover.Answer {
	a := takeover.Answer{Planner: m.Planner, Known: time.Duration(m.Known) * time.Millisecond}
	if m.Silent != nil {
		a.Accepted, a.Silent = true, time.Duration(*m.Silent)*time.Millisecond
	}
	return a
}

// servePlannerQuestion tells another node when the planner last accepted a report of this node.
func (n *Node) servePlannerQuestion(w http.ResponseWriter, r *http.Request) {
	var question plannerQuestion
	if !n.readCall(w, r, &question) {
		return
	}
	answer := n.plannerContact.message(n.views.current().Planner, time.Now())
	n.log.Debug("asked about the planner", zap.String("from", question.Instance), zap.Uint64("planner version", answer.Planner),
		zap.Uint32p("last accepted report ms", answer.Silent))
	n.writeCallResponse(w, answer)
}

// plannerInquiry is what other nodes told about the planner.
type plannerInquiry struct {
	config  takeover.Config
	state   takeover.State
	asked   int
	answers []takeover.Answer
}

// inquire asks some other nodes about the planner, if their answers may lead to a takeover.
func (p *planner) inquire(ctx context.Context, view *View) plannerInquiry {
	members := len(view.Members)
	q := plannerInquiry{config: takeover.DefaultConfig(reportInterval(members)), state: takeover.State{
		Members: members, Planner: view.Planner.Version, Known: p.node.plannerContact.known(view.Planner, time.Now()),
	}}
	if q.config.Precheck(q.state) != takeover.Take {
		return q
	}
	witnesses := p.witnesses(view, q.config.Witnesses)
	q.asked, q.answers = len(witnesses), p.askAboutPlanner(ctx, witnesses)
	return q
}

// decide returns the decision. storeLost is set if the store did not answer this node itself.
func (q plannerInquiry) decide(storeLost bool) takeover.Decision {
	state := q.state
	state.StoreLost = storeLost
	return q.config.Decide(state, q.asked, q.answers)
}

// lastAccepted returns how long ago the planner accepted the last reports of the nodes that answered.
func (q plannerInquiry) lastAccepted() []time.Duration {
	var out []time.Duration
	for _, a := range q.answers {
		if a.Accepted {
			out = append(out, a.Silent)
		}
	}
	return out
}

// witnesses returns random members to ask. They include those that this node cannot reach, because
// their missing answers tell that this node may be the one that is cut off.
func (p *planner) witnesses(view *View, count int) []takeover.Witness {
	var out []takeover.Witness
	for instance, m := range view.Members {
		if instance != p.node.config.Instance && instance != view.Planner.Instance {
			out = append(out, takeover.Witness{Address: m.Address, Zone: m.Zone})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return takeover.ChooseWitnesses(out, count)
}

// askAboutPlanner asks nodes when the planner last accepted a report of theirs, and returns the answers.
// Nodes of an earlier release do not know the message, which counts as no answer.
func (p *planner) askAboutPlanner(ctx context.Context, witnesses []takeover.Witness) []takeover.Answer {
	body, err := cbor.Marshal(plannerQuestion{Instance: p.node.config.Instance})
	if err != nil {
		p.log.Error("question about the planner cannot be encoded", zap.Error(err))
		return nil
	}
	var mu sync.Mutex
	var answers []takeover.Answer
	var asked sync.WaitGroup
	for _, w := range witnesses {
		asked.Go(func() {
			data, err := p.node.post(ctx, w.Address, plannerContactPath, peerMessageTimeout, body)
			var message plannerContactMessage
			if err == nil {
				err = cbor.Unmarshal(data, &message)
			}
			if err != nil {
				p.log.Debug("no answer about the planner", zap.String("address", w.Address), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, message.answer())
		})
	}
	asked.Wait()
	return answers
}
