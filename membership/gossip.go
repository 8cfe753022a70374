// Package membership decides how feed changes reach all daemons: which peers to push a new
// record to, which peer to compare versions with, and when to read the store.
//
// It is a gossip protocol: new records are pushed to a few random peers (rumour mongering)
// and versions are compared with one random peer at a time (anti-entropy), as described in
// Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987. The cost
// per daemon does not depend on the number of members.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
)

// Config holds the parameters of Gossip.
type Config struct {
	// Fanout is the number of peers that a new record is pushed to. The default is 4. With
	// more peers records spread faster; each costs one message per record.
	Fanout int
	// DigestInterval is the time between version comparisons. The default is 1 s. It bounds
	// how long a daemon that missed a push is behind. A comparison costs about 100 bytes.
	DigestInterval time.Duration
	// PollInterval is the mean time between reads of the feed heads from the store. The
	// default is 30 s; with 1,900 daemons and two feeds that is 127 reads per second.
	PollInterval time.Duration
	// LocalShare is the share of version comparisons with peers in the daemon's own region.
	// The default is 0.75. The rest keeps regions in sync when pushes are lost.
	LocalShare float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{Fanout: 4, DigestInterval: time.Second, PollInterval: 30 * time.Second, LocalShare: 0.75}
}

// Gossip decides which peers get new records, which peer to compare versions with, and when to
// read the store. It is not safe for concurrent use.
type Gossip struct {
	config Config
	self   string
	region string
	rng    *rand.Rand

	seeds      []string
	local, all []string
	nextDigest time.Time
	nextPoll   time.Time
}

// NewGossip returns a Gossip for the daemon at address self. The seeds are the addresses used
// as peers while no members are known.
func NewGossip(config Config, self, region string, seeds []string, rng *rand.Rand) *Gossip {
	return &Gossip{config: config, self: self, region: region, seeds: seeds, rng: rng}
}

// SetMembers replaces the known members. A member at the daemon's own address is left out.
func (g *Gossip) SetMembers(members []cluster.Member) {
	g.local, g.all = g.local[:0], g.all[:0]
	for _, m := range members {
		if m.Address == g.self {
			continue
		}
		g.all = append(g.all, m.Address)
		if m.Region() == g.region {
			g.local = append(g.local, m.Address)
		}
	}
}

// PushTargets returns up to Config.Fanout random peers to push new records to. from, the peer
// that sent the records, is left out.
func (g *Gossip) PushTargets(from string) []string {
	candidates := g.candidates()
	targets := make([]string, 0, g.config.Fanout)
	for _, i := range g.rng.Perm(len(candidates)) {
		if len(targets) == g.config.Fanout {
			break
		}
		if candidates[i] != from {
			targets = append(targets, candidates[i])
		}
	}
	return targets
}

// Tick returns the peer to compare versions with at now, or "" for none, and whether to read
// the feed heads from the store at now.
func (g *Gossip) Tick(now time.Time) (digestPeer string, poll bool) {
	if !now.Before(g.nextDigest) {
		g.nextDigest = now.Add(g.config.DigestInterval)
		digestPeer = g.digestPeer()
	}
	if !now.Before(g.nextPoll) {
		poll = true
		// Uniformly distributed between 0.5 and 1.5 intervals, so that daemons that started
		// at the same time do not all read at the same time.
		half := g.config.PollInterval / 2
		g.nextPoll = now.Add(half + time.Duration(g.rng.Int64N(int64(g.config.PollInterval)+1)))
	}
	return digestPeer, poll
}

func (g *Gossip) digestPeer() string {
	candidates := g.candidates()
	if len(g.local) > 0 && g.rng.Float64() < g.config.LocalShare {
		candidates = g.local
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[g.rng.IntN(len(candidates))]
}

func (g *Gossip) candidates() []string {
	if len(g.all) > 0 {
		return g.all
	}
	return g.seeds
}
