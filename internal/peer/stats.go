package peer

import "sync/atomic"

// KindStats counts the frames of one kind: requests, responses, cancellations and
// notifications. Bytes are the sizes of encoded frames, without WebSocket headers. Kind 0
// counts control frames such as pings.
type KindStats struct {
	SentFrames, SentBytes         uint64
	ReceivedFrames, ReceivedBytes uint64
}

// Stats are the statistics of a Pool since its start.
type Stats struct {
	// Kinds contains only kinds that were used.
	Kinds map[uint8]KindStats
	// SentMessages and ReceivedMessages count WebSocket messages. A message holds one or
	// more frames.
	SentMessages, ReceivedMessages uint64
	// LateResponses counts responses that arrived after their call was abandoned.
	LateResponses uint64
	// DuplicateResponses counts further responses to requests that already had one.
	DuplicateResponses uint64
	// UnknownResponses counts responses with an id that was never sent.
	UnknownResponses uint64
	// MalformedMessages counts malformed messages; each closed its connection.
	MalformedMessages uint64
	// Backpressure counts calls and notifications that failed because of a full queue or
	// MaxInFlight.
	Backpressure uint64
	// Refused counts inbound requests and notifications beyond MaxInbound.
	Refused uint64
	// RejectedHandshakes counts handshakes without a valid key.
	RejectedHandshakes uint64
	// Dials, DialFailures and Accepts count attempted, failed and accepted connections.
	Dials, DialFailures, Accepts uint64
	// Connections is the number of open connections.
	Connections int
}

type kindCounters struct {
	sentFrames, sentBytes, receivedFrames, receivedBytes atomic.Uint64
}

func (k *kindCounters) sent(bytes int) {
	k.sentFrames.Add(1)
	k.sentBytes.Add(uint64(bytes))
}

func (k *kindCounters) received(bytes int) {
	k.receivedFrames.Add(1)
	k.receivedBytes.Add(uint64(bytes))
}

type counters struct {
	kinds                               [256]kindCounters
	sentMessages, receivedMessages      atomic.Uint64
	late, duplicate, unknown, malformed atomic.Uint64
	backpressure, refused, rejected     atomic.Uint64
	dials, dialFailures, accepts        atomic.Uint64
}

func (c *counters) snapshot() Stats {
	s := Stats{
		Kinds:              map[uint8]KindStats{},
		SentMessages:       c.sentMessages.Load(),
		ReceivedMessages:   c.receivedMessages.Load(),
		LateResponses:      c.late.Load(),
		DuplicateResponses: c.duplicate.Load(),
		UnknownResponses:   c.unknown.Load(),
		MalformedMessages:  c.malformed.Load(),
		Backpressure:       c.backpressure.Load(),
		Refused:            c.refused.Load(),
		RejectedHandshakes: c.rejected.Load(),
		Dials:              c.dials.Load(),
		DialFailures:       c.dialFailures.Load(),
		Accepts:            c.accepts.Load(),
	}
	for i := range c.kinds {
		k := &c.kinds[i]
		ks := KindStats{
			SentFrames: k.sentFrames.Load(), SentBytes: k.sentBytes.Load(),
			ReceivedFrames: k.receivedFrames.Load(), ReceivedBytes: k.receivedBytes.Load(),
		}
		if ks != (KindStats{}) {
			s.Kinds[uint8(i)] = ks
		}
	}
	return s
}
