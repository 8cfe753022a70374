// Package admission decides which requests run on one backend server, which wait and
// which are rejected. Controller has no clock, goroutine or I/O: it takes events and the
// time and returns what to do.
package admission

import "time"

// Config configures a Controller. Fields that are not positive take their defaults.
type Config struct {
	// MaxQueue limits the queued requests. The default is 32. A longer queue absorbs
	// longer bursts and adds its drain time to the latency under overload.
	MaxQueue int
	// MaxWait limits the time in the queue. The default is 1 s. A longer wait helps
	// callers with long deadlines over a short freeze of the server; the queue then
	// holds requests whose callers are more likely to have given up.
	MaxWait time.Duration
	// Tolerance is the latency, as a multiple of the baseline, above which a request
	// counts as slow. The default is 2. A smaller value reacts to smaller slowdowns and
	// mistakes the spread of normal latencies for a slow server.
	Tolerance float64
	// Window is the shortest time over which latencies are evaluated. The default is
	// 250 ms. A longer window is less noisy and reacts later.
	Window time.Duration
	// MinSamples is the smallest number of latencies in a window. The default is 20.
	// With fewer, single outliers move the limit; with more, a server with little
	// traffic reacts late.
	MinSamples int
	// RampStart is the share of the slots, 0 to 1, that may be in use right after a start
	// of the server. The default is 0.25. A greater share overloads a cold server.
	RampStart float64
	// RampDuration is the time from RampStart to all slots. The default is 5 s. A longer
	// ramp gives caches more time to fill and leaves capacity unused for longer.
	RampDuration time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry-after of rejections. The defaults
	// are 10 ms and 5 s. A smaller minimum lets callers retry in vain more often; a
	// greater maximum keeps them away longer after an outage.
	MinRetryAfter, MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxQueue, 32)
	setDefault(&c.MaxWait, time.Second)
	setDefault(&c.Tolerance, 2)
	setDefault(&c.Window, 250*time.Millisecond)
	setDefault(&c.MinSamples, 20)
	setDefault(&c.RampStart, 0.25)
	setDefault(&c.RampDuration, 5*time.Second)
	setDefault(&c.MinRetryAfter, 10*time.Millisecond)
	setDefault(&c.MaxRetryAfter, 5*time.Second)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
