package capacity

// Estimate is what a Learner has learned.
type Estimate struct {
	// Limit is the number of requests up to which the server keeps its speed, from 1 to its slots.
	Limit int
	// InForce is Limit, or the limit that is tried at present. The request queue uses it; others use
	// Limit, which changes less often.
	InForce int
	// Speed is the server's present speed relative to its usual one: 1 is as usual, 0.5 means that
	// requests take twice their usual time.
	Speed float64
}
