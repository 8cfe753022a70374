package peer

import "sync/atomic"

// KindStats counts the frames of one kind, of requests, answers, cancellations and
// notifications. Bytes are those of encoded frames, without WebSocket headers. Kind 0
// holds pings and the like.
type KindStats struct {
	SentFrames, SentBytes         uint64
	ReceivedFrames, ReceivedBytes uint64
}

// Stats is what a Pool has done since its start.
type Stats struct {
	// Kinds holds the kinds that were used.
	Kinds map[uint8]KindStats
	// SentMessages and ReceivedMessages count WebSocket messages, each with one or more
	// frames.
	SentMessages, ReceivedMessages uint64
	// LateAnswers arrived after their caller gave up.
	LateAnswers uint64
	// DuplicateAnswers arrived for requests that were answered.
	DuplicateAnswers uint64
	// UnknownAnswers have an id that was never sent.
	UnknownAnswers uint64
	// MalformedMessages closed their connection.
	MalformedMessages uint64
	// Backpressure counts calls and notifications refused because a queue was full.
	Backpressure uint64
	// Refused counts inbound requests and notifications over MaxInbound.
	Refused uint64
	// RejectedHandshakes counts connections without a valid key.
	RejectedHandshakes uint64
	// Dials, DialFailures and Accepts count connections.
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
	kinds                                [256]kindCounters
	sentMessages, receivedMessages       atomic.Uint64
	late, duplicate, unknown, malformed  atomic.Uint64
	backpressure, refused, rejected      atomic.Uint64
	dials, dialFailures, acceptedStreams atomic.Uint64
}

func (c *counters) snapshot() Stats {
	s := Stats{
		Kinds:              map[uint8]KindStats{},
		SentMessages:       c.sentMessages.Load(),
		ReceivedMessages:   c.receivedMessages.Load(),
		LateAnswers:        c.late.Load(),
		DuplicateAnswers:   c.duplicate.Load(),
		UnknownAnswers:     c.unknown.Load(),
		MalformedMessages:  c.malformed.Load(),
		Backpressure:       c.backpressure.Load(),
		Refused:            c.refused.Load(),
		RejectedHandshakes: c.rejected.Load(),
		Dials:              c.dials.Load(),
		DialFailures:       c.dialFailures.Load(),
		Accepts:            c.acceptedStreams.Load(),
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
