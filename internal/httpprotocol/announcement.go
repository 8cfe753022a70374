package httpprotocol

import (
	"fmt"
	"time"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
)

// Announcement is what a backend server sends about itself, about once a second.
type Announcement struct {
	ID string `json:"id"`
	// BornMS is the start time in Unix milliseconds.
	BornMS   int64  `json:"born_ms"`
	Address  string `json:"address"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	// Sequence increases with each announcement since the start.
	Sequence uint64 `json:"sequence"`
	// ColdMS is how many milliseconds longer the backend server is slow after its start.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// Holds lists the keys that the backend server holds or still runs requests for,
	// Released those that it stopped holding since the last announcement.
	Holds    []Span `json:"holds,omitempty"`
	Released []Span `json:"released,omitempty"`
}

// Span is the range of keys From to To, both included.
type Span struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"to"`
	Fence uint64 `json:"fence,omitempty"`
	// Handover is a token that passes what the previous holder knew about the keys to the
	// next one.
	Handover string `json:"handover,omitempty"`
}

// Reply tells a backend server which keys it may hold.
type Reply struct {
	// Renew is false if the reply does not concern keys.
	Renew bool `json:"renew"`
	// LastsMS is how long the grants are valid, in milliseconds from when the announcement
	// was sent.
	LastsMS int64  `json:"lasts_ms,omitempty"`
	Grants  []Span `json:"grants,omitempty"`
}

func (a Announcement) heartbeat() (grant.Heartbeat, error) {
	if a.ID == "" || a.Service == "" || a.Address == "" || a.Slots < 1 {
		return grant.Heartbeat{}, fmt.Errorf("announcement: id %q, service %q, address %q, slots %d; all are needed, slots at least 1", a.ID, a.Service, a.Address, a.Slots)
	}
	hb := grant.Heartbeat{
		ID: a.ID, StartedMS: a.BornMS, Address: a.Address, Service: a.Service, Slots: a.Slots, Sequence: a.Sequence,
		WarmUpLeft: time.Duration(a.ColdMS) * time.Millisecond,
	}
	if a.Draining {
		hb.State = grant.Draining
	}
	for _, s := range a.Holds {
		hb.Holds = append(hb.Holds, grant.Hold{Span: s.keys(), Fence: s.Fence})
	}
	for _, s := range a.Released {
		hb.Released = append(hb.Released, grant.Release{Span: s.keys(), Handover: s.Handover})
	}
	for _, s := range append(a.Holds, a.Released...) {
		if s.From > s.To {
			return grant.Heartbeat{}, fmt.Errorf("announcement: keys %d to %d", s.From, s.To)
		}
	}
	return hb, nil
}

func (s Span) keys() keyrange.Span { return keyrange.Span{From: s.From, To: s.To} }

func newReply(r grant.Reply) Reply {
	out := Reply{Renew: r.Renew, LastsMS: r.Hold.Milliseconds()}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, Span{From: g.From, To: g.To, Fence: g.Fence, Handover: g.Handover})
	}
	return out
}
