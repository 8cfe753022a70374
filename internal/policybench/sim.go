package policybench

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
)

// Run simulates one series with one policy.
func Run(size Size, series Series, policy Policy, seed uint64) (Result, error) {
	s := newSim(size, series, policy, seed)
	for t := range series.Duration {
		if err := s.step(t); err != nil {
			return s.result, fmt.Errorf("%s, %s, %s, seed %d, second %d: %w", size.Name, series.Name, policy.Name(), seed, t, err)
		}
	}
	s.imbalances.finish(&s.result)
	hours := float64(series.Duration) / 3600
	s.result.KeyChurn /= hours
	s.result.LoadChurn /= hours
	s.result.ForcedChurn /= hours
	if s.result.Shed > 0 {
		s.result.ShedShare = s.result.Shed / s.requests
	}
	for _, svc := range s.state.Services {
		s.result.Ranges += len(svc.Ranges)
		s.result.HotKeys += len(svc.HotKeys)
	}
	return s.result, nil
}

// sim is the state of one simulation.
type sim struct {
	size        Size
	series      Series
	policy      Policy
	rng         *rand.Rand
	state       *cluster.State
	load        *planner.LoadModel
	services    []*service
	servers     map[cluster.Session]*server
	serverOrder []*server // sorted servers; nil after servers changed
	// draining are the members being replaced, oldest first; lost are those lost and not yet
	// fenced.
	draining        []cluster.Session
	lost            []cluster.Session
	lostAt          int
	lostKeyShare    float64
	replacements    int
	movesInProgress bool // moves may be in progress
	reportInterval  int
	requests        float64
	imbalances      imbalanceStats
	result          Result
}

// seedFor returns a seed for each pair of size and series, so that all policies meet the
// same random load.
func seedFor(size, series string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(size + "/" + series))
	return h.Sum64()
}

func newSim(size Size, series Series, policy Policy, seed uint64) *sim {
	rng := rand.New(rand.NewPCG(seed, seedFor(size.Name, series.Name)))
	s := &sim{
		size: size, series: series, policy: policy, rng: rng, state: cluster.NewState(),
		load:    planner.NewLoadModel(planner.DefaultLoadConfig(size.Members())),
		servers: map[cluster.Session]*server{}, lostAt: -1,
		reportInterval: int(math.Ceil(planner.ReportInterval(size.Members()).Seconds())),
		result:         Result{Size: size.Name, Series: series.Name, Policy: policy.Name()},
	}
	var joins []cluster.Entry
	for _, svc := range size.Services {
		s.services = append(s.services, &service{
			name: svc.Name, demand: newDemand(size, svc.Members, rng), hotKeys: series.Hot(svc.Members, rng),
		})
		for i := range svc.Members {
			joins = append(joins, s.join(svc.Name, i, 1, 0))
		}
	}
	if err := s.state.Apply(1, joins); err != nil {
		panic(err) // the joins above are always valid
	}
	return s
}

// join adds the server of a new member and returns the member's cluster entry.
func (s *sim) join(service string, i, incarnation, t int) cluster.Entry {
	m := s.size.member(service, i, incarnation)
	s.serverOrder = nil
	s.servers[m.Session] = &server{
		session: m.Session, service: service, index: i, slots: float64(s.size.Slots),
		since: t, keys: map[uint64]float64{},
	}
	return cluster.Entry{Kind: cluster.EntryMemberJoined, Member: &m}
}

func (s *sim) apply(entries []cluster.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	return s.state.Apply(s.state.Version+1, entries)
}

func (s *sim) now(t int) time.Time { return time.Unix(1_800_000_000+int64(t), 0) }

// step simulates second t.
func (s *sim) step(t int) error {
	if err := s.finishMoves(t); err != nil {
		return err
	}
	if err := s.applyEvents(t); err != nil {
		return err
	}
	for _, svc := range s.services {
		s.rebuildUnits(svc, t)
		s.offerLoad(svc, t)
	}
	for _, sv := range s.sortedServers() {
		s.serve(sv, t)
	}
	s.imbalances.add(t, s.imbalance())
	s.sendReports(t)
	if t%s.size.PlanEvery == 0 || s.fenceDue(t) {
		return s.plan(t)
	}
	return nil
}

// sortedServers returns the servers ordered by session, so that runs are deterministic.
func (s *sim) sortedServers() []*server {
	if s.serverOrder == nil {
		for _, sv := range s.servers {
			s.serverOrder = append(s.serverOrder, sv)
		}
		slices.SortFunc(s.serverOrder, func(a, b *server) int {
			if a.session.Less(b.session) {
				return -1
			}
			return 1
		})
	}
	return s.serverOrder
}
