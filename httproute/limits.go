package httproute

import "time"

// Limits restricts what a client may send. A zero field means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits how long a client may take to send the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client connection without requests is kept open.
	IdleTimeout time.Duration
}
