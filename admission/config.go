// Package admission decides which requests run on one backend server, which wait and
// which are rejected. Controller is pure: it takes events and the time and returns
// what to do.
package admission

import "time"

// Config configures a Controller. Zero fields take their defaults.
type Config struct {
	// MaxQueue is the number of requests that wait. The default is 32. A longer queue
	// absorbs longer bursts and adds its drain time to the latency under overload.
	MaxQueue int
	// MaxWait is the longest time in the queue. The default is 1 s. A longer wait
	// helps callers with long deadlines over a short freeze of the server; the queue
	// then holds requests whose callers are more likely to have given up.
	MaxWait time.Duration
	// Tolerance is the latency, as a multiple of the usual one, from which on the
	// server counts as slow. The default is 2. A smaller value reacts to less and
	// takes the spread of normal latencies for a slow server.
	Tolerance float64
	// Window is the shortest time over which latencies are judged. The default is
	// 250 ms. A longer window is less noisy and reacts later.
	Window time.Duration
	// MinSamples is the least number of latencies in a window. The default is 20.
	// With fewer, single outliers move the limit; with more, a server with little
	// traffic reacts late.
	MinSamples int
	// RampStart is the share of the slots, 0 to 1, used at first after a start of the
	// server. The default is 0.25. A greater share overloads a cold server.
	RampStart float64
	// RampDuration is the time from RampStart to all slots. The default is 5 s. A
	// longer ramp is kinder to caches and leaves capacity unused for longer.
	RampDuration time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry-after of rejections. The
	// defaults are 10 ms and 5 s. A smaller minimum lets callers come back more often
	// for nothing; a greater maximum keeps them away longer after an outage.
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
