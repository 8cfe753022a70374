package pacing

import "time"

// Config holds the rate limit of a Pacer.
type Config struct {
	// BytesPerSecond is the rate limit of large responses; 0 means no limit. A greater share
	// of the link's rate lets more large responses through, a smaller one shortens the wait
	// of small messages.
	BytesPerSecond float64
	// Burst is the number of bytes that may be sent at once after a pause. It bounds how long
	// a small message waits behind large responses.
	Burst float64
}

const (
	// linkSharePercent is the share of the link's rate that large responses get. The rest is
	// for small messages and for network protocol headers, which are about 4 % of the bytes.
	linkSharePercent = 86
	// burstDuration is the time that a burst occupies the link at the rate of large
	// responses. It is small compared with the target latency of a call between backend
	// servers, about 100 ms.
	burstDuration = 10 * time.Millisecond
)

// ForLink returns the configuration for a link of bitsPerSecond. A rate of 0 means that the
// link's rate is not known and sets no limit.
func ForLink(bitsPerSecond float64) Config {
	rate := bitsPerSecond / 8 * linkSharePercent / 100
	return Config{BytesPerSecond: rate, Burst: rate * burstDuration.Seconds()}
}
