package coldstate

// Sign is a reason to ask a backend server whether it is cold. Its next heartbeat may come too
// late.
type Sign uint8

const (
	// None is no reason.
	None Sign = iota
	// Overdue means that its heartbeat is overdue.
	Overdue
	// Slow means that its responses take much longer than usual.
	Slow
	// Disconnected means that it closed a connection with a request. It may have crashed and
	// returned.
	Disconnected
	// Reinstated means that it gets requests again after a time without any.
	Reinstated
	// Unconfirmed means that it has got nearly as many requests as a cold one may get since it was certainly warm.
	Unconfirmed
)

// String returns the sign's name for logs and metrics.
func (s Sign) String() string {
	return [...]string{"none", "heartbeat overdue", "slow responses", "connection closed", "reinstated", "unconfirmed"}[s]
}
