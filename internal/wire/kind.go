// Package wire defines the messages between daemons and their encoding.
package wire

// Kind identifies the type of a message.
type Kind uint8

// Values of Kind. They are sent between daemons; do not renumber them.
const (
	// KindForward asks the owner's daemon to run a caller's request.
	KindForward Kind = 1
	// KindDigest compares feed versions; the response carries missing records.
	KindDigest Kind = 2
	// KindPush carries new feed records.
	KindPush Kind = 3
	// KindSnapshot requests a snapshot of a feed topic.
	KindSnapshot Kind = 4
	// KindRenew asks a witness for a lease grant.
	KindRenew Kind = 5
	// KindSeal asks a witness to stop granting to a session.
	KindSeal Kind = 6
	// KindExpired tells the planner that a witness sealed a session.
	KindExpired Kind = 7
	// KindHandover carries a unit's request ids and quarantine records to its next owner.
	KindHandover Kind = 8
	// KindReleased tells the planner that a moving unit was released.
	KindReleased Kind = 9
	// KindLoad carries load reports to the planner or to a relay.
	KindLoad Kind = 10
	// KindStrikes spreads quarantine records.
	KindStrikes Kind = 11
	// KindNotLost tells a witness that a session that it reported as expired is alive.
	KindNotLost Kind = 12
)

// String returns the kind as metrics show it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

var kindNames = [...]string{
	"none", "forward", "digest", "push", "snapshot", "renew", "seal", "expired",
	"hand_over", "released", "load", "strikes", "not_lost",
}
