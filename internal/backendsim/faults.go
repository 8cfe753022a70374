package backendsim

// Faults are the faults that a Server simulates. The zero value has none.
type Faults struct {
	// Frozen stops all responses and announcements. Requests that arrive in the meantime
	// continue when it ends, even if their callers have cancelled.
	Frozen bool `json:"frozen"`
	// CrashPayload is a payload that crashes the server; none does if it is empty.
	CrashPayload string `json:"crash_payload"`
	// Healthy overrides the reported health.
	Healthy *bool `json:"healthy,omitempty"`
	// Utilization overrides the reported utilization, 0 to 1.
	Utilization *float64 `json:"utilization,omitempty"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Shed is the probability, 0 to 1, that a request is shed without running.
	Shed float64 `json:"shed"`
	// Errors is the probability, 0 to 1, that a request is logged as run but fails
	// immediately without effect.
	Errors float64 `json:"errors"`
	// ChecksGrants overrides Config.ChecksGrants.
	ChecksGrants *bool `json:"checks_grants,omitempty"`
}
