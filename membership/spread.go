// Package membership decides how changes of the feeds reach all daemons: whom to
// push a new record to, whom to compare versions with, and when to read the store.
//
// New records are pushed to a few random peers (rumour mongering) and versions are
// compared with one random peer at a time (anti-entropy), as described in Demers et
// al., "Epidemic Algorithms for Replicated Database Maintenance", 1987. The cost for
// a daemon does not depend on the number of members.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
)

// Config holds the parameters of Spread.
type Config struct {
	// Fanout is the number of peers that a new record is pushed to. Default 4.
	// More peers shorten the spread and cost one message a record and peer.
	Fanout int
	// DigestInterval is the time between version comparisons. Default 1 s. It bounds
	// how long a daemon that missed a push lags; each costs about 100 bytes.
	DigestInterval time.Duration
	// PollInterval is the mean time between reads of the feed heads in the store.
	// Default 30 s. At 1,900 daemons and two feeds 30 s are 127 reads a second.
	PollInterval time.Duration
	// LocalShare is the share of version comparisons with peers of the own region.
	// Default 0.75. The rest keeps regions in step when pushes are lost.
	LocalShare float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Fanout: 4, DigestInterval: time.Second, PollInterval: 30 * time.Second, LocalShare: 0.75}
}

// Spread decides whom to send feed changes to. It is not safe for concurrent use.
type Spread struct {
	config Config
	self   string
	region string
	rng    *rand.Rand

	seeds      []string
	local, all []string
	nextDigest time.Time
	nextPoll   time.Time
}

// NewSpread returns a Spread for the daemon at address self. The seeds are addresses to talk to while
// no members are known.
func NewSpread(config Config, self, region string, seeds []string, rng *rand.Rand) *Spread {
	return &Spread{config: config, self: self, region: region, seeds: seeds, rng: rng}
}

// SetMembers replaces the members that are known.
func (s *Spread) SetMembers(members []cluster.Member) {
	s.local, s.all = s.local[:0], s.all[:0]
	for _, m := range members {
		if m.Address == s.self {
			continue
		}
		s.all = append(s.all, m.Address)
		if m.Region() == s.region {
			s.local = append(s.local, m.Address)
		}
	}
}

// PushTargets returns the peers to push new records to. The peer that sent them is
// left out.
func (s *Spread) PushTargets(from string) []string {
	candidates := s.candidates()
	targets := make([]string, 0, s.config.Fanout)
	for _, i := range s.rng.Perm(len(candidates)) {
		if len(targets) == s.config.Fanout {
			break
		}
		if candidates[i] != from {
			targets = append(targets, candidates[i])
		}
	}
	return targets
}

// Tick returns the peer to compare versions with now, if any, and whether to read
// the feed heads from the store now.
func (s *Spread) Tick(now time.Time) (digestPeer string, poll bool) {
	if !now.Before(s.nextDigest) {
		s.nextDigest = now.Add(s.config.DigestInterval)
		digestPeer = s.digestPeer()
	}
	if !now.Before(s.nextPoll) {
		poll = true
		// Uniform between half and one and a half intervals, so that daemons that
		// started together do not read together.
		half := s.config.PollInterval / 2
		s.nextPoll = now.Add(half + time.Duration(s.rng.Int64N(int64(s.config.PollInterval)+1)))
	}
	return digestPeer, poll
}

func (s *Spread) digestPeer() string {
	candidates := s.candidates()
	if len(s.local) > 0 && s.rng.Float64() < s.config.LocalShare {
		candidates = s.local
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[s.rng.IntN(len(candidates))]
}

func (s *Spread) candidates() []string {
	if len(s.all) > 0 {
		return s.all
	}
	return s.seeds
}
