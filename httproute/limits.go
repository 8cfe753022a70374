package httproute

import "time"

// Limits bound what a client may send. A zero field is no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time a client takes for the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client connection without requests is kept.
	IdleTimeout time.Duration
}
