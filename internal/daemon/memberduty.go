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
	// memberTick is how often the member entry is compared with what it should be.
	memberTick = 100 * time.Millisecond
	// memberRetry is the longest pause after a failed write of the member entry.
	memberRetry = 2 * time.Second
	// memberWriteTimeout bounds one write of the member entry.
	memberWriteTimeout = 5 * time.Second
)

// keepMember keeps this session's entry in the cluster feed as it should be. A session
// joins only when its lease is valid, so its row exists when others look for it.
func (s *sessionRuntime) keepMember() {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	joined := false
	for {
		select {
		case <-s.life.Done():
			return
		case <-ticker.C:
		}
		_, present := s.daemon.replicas.cluster().Members[s.session]
		if joined && !present || !s.lease.clock.valid(time.Now()) {
			continue // fenced, or nothing to announce yet
		}
		joined = joined || present
		if err := s.updateMember(); err != nil {
			s.daemon.log.Warn("member entry not written", zap.Error(err))
			_ = sleepContext(s.life, rand.N(memberRetry))
		}
	}
}

func (s *sessionRuntime) updateMember() error {
	ctx, cancel := context.WithTimeout(s.life, memberWriteTimeout)
	defer cancel()
	if len(s.memberEntries(s.daemon.replicas.cluster())) == 0 {
		return nil
	}
	return s.daemon.writer.update(ctx, func(state *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
		return s.memberEntries(state), metastore.Txn{}, nil
	})
}

// memberEntries returns what the cluster feed lacks about this session.
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

// leave removes the session from the cluster. It must own nothing that it still
// serves: its units get other owners at once.
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
