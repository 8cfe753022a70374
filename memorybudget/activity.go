package memorybudget

// Activity is what a holder does.
type Activity uint8

const (
	// Receiving is set while a part of a request has arrived or none has begun. If the connection is
	// closed, nothing of the request runs.
	Receiving Activity = iota
	// Running is set while a request is handled. The connection is not closed.
	Running
	// Sending is set while the holder waits until its client reads a response.
	Sending
)

// String returns the activity as it is named in logs and metrics.
func (a Activity) String() string {
	switch a {
	case Receiving:
		return "receiving"
	case Running:
		return "running"
	default:
		return "sending"
	}
}
