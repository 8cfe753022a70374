package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore"
)

const (
	// memberTick is how often the member entry is compared with the wanted one.
	memberTick = 100 * time.Millisecond
	// memberRetry is the longest random pause after a failed write of the member entry.
	memberRetry = 2 * time.Second
	// memberWriteTimeout bounds one write of the member entry.
	memberWriteTimeout = 5 * time.Second
)

// maintainMember keeps this session's entry in the cluster feed up to date. A session
// joins only when its lease is valid, so that its row exists when others read it.
func (s *sessionRuntime) maintainMember() {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	joined := false
	for {
		select {
		case <-s.baseCtx.Done():
			return
		case <-ticker.C:
		}
		_, present := s.daemon.replicas.cluster().Members[s.session]
		if joined && !present || !s.lease.clock.valid(time.Now()) {
			continue // fenced, or no valid lease
		}
		joined = joined || present
		if err := s.updateMember(); err != nil {
			s.daemon.log.Warn("cannot write the member entry", zap.Error(err))
			_ = sleepContext(s.baseCtx, rand.N(memberRetry))
		}
	}
}

func (s *sessionRuntime) updateMember() error {
	ctx, cancel := context.WithTimeout(s.baseCtx, memberWriteTimeout)
	defer cancel()
	if len(s.memberEntries(s.daemon.replicas.cluster())) == 0 {
		return nil
	}
	return s.daemon.writer.update(ctx, func(state *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
		return s.memberEntries(state), metastore.Txn{}, nil
	})
}

// memberEntries returns the entries about this session that the cluster feed lacks.
func (s *sessionRuntime) memberEntries(state *cluster.State) []cluster.Entry {
	wanted := s.wanted.Load()
	if wanted == nil {
		return nil
	}
	known, ok := state.Members[s.session]
	var entries []cluster.Entry
	if !ok || known.Service != wanted.Service || known.Slots != wanted.Slots || known.ChecksGrants != wanted.ChecksGrants {
		if ok {
			wanted = withState(*wanted, known.State)
		}
		entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberJoined, Member: wanted})
	}
	if s.draining.Load() && known.State != cluster.MemberDraining {
		entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberDraining, Session: s.session})
	}
	return entries
}

func withState(m cluster.Member, state cluster.MemberState) *cluster.Member {
	m.State = state
	return &m
}

// leave removes the session from the cluster. The session must not serve any units any
// more, because they get other owners at once.
func (s *sessionRuntime) leave(ctx context.Context) error {
	if err := s.lease.leave(ctx); err != nil {
		return err
	}
	return s.daemon.writer.update(ctx, func(state *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
		if _, ok := state.Members[s.session]; !ok {
			return nil, metastore.Txn{}, nil
		}
		rows := metastore.Txn{Writes: []metastore.Write{
			{Key: lease.SessionKey(s.session), Delete: true},
			{Key: lease.RenewalKey(s.session), Delete: true},
		}}
		return []cluster.Entry{{Kind: cluster.EntryMemberLeft, Session: s.session}}, rows, nil
	})
}
