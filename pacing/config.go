package pacing

import "time"

// Config describes the link that a Line divides.
type Config struct {
	// BytesPerSecond is the rate of large answers; 0 lets all through at once. A higher
	// share of the link's rate passes more large answers, a lower one leaves small messages
	// a shorter wait.
	BytesPerSecond float64
	// Burst is the number of bytes that may be sent at once after a pause. It bounds the
	// wait of a small message behind them.
	Burst float64
}

const (
	// linkShare is the part of a link, in percent, that large answers get. The rest is for
	// small messages and for the headers of the network's protocols, about 4 % of the bytes.
	linkShare = 86
	// burstTime is the time that a burst takes on the link: small against the target
	// latency of a call between backend servers, about 100 ms.
	burstTime = 10 * time.Millisecond
)

// ForLink returns the configuration for a link of a number of bits a second.
func ForLink(bitsPerSecond float64) Config {
	rate := bitsPerSecond / 8 * linkShare / 100
	return Config{BytesPerSecond: rate, Burst: rate * burstTime.Seconds()}
}
