// Package wire defines the messages between daemons and their encoding.
package wire

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Values are sent; do not renumber.
const (
	// KindForward asks the owner's daemon to run a caller's request.
	KindForward Kind = 1
	// KindDigest compares feed versions; the answer carries missing records.
	KindDigest Kind = 2
	// KindPush carries new feed records.
	KindPush Kind = 3
	// KindSnapshot asks for a feed's snapshot.
	KindSnapshot Kind = 4
	// KindRenew asks a witness for a lease grant.
	KindRenew Kind = 5
	// KindSeal asks a witness to stop granting to a session.
	KindSeal Kind = 6
	// KindExpired tells the planner that a witness sealed a session.
	KindExpired Kind = 7
	// KindHandOver carries a unit's memory to its next owner.
	KindHandOver Kind = 8
	// KindReleased tells the planner that a moving unit was released.
	KindReleased Kind = 9
	// KindLoad carries a load report to the planner.
	KindLoad Kind = 10
	// KindStrikes spreads quarantine records.
	KindStrikes Kind = 11
	// KindNotLost tells a witness that a session that it reported is alive.
	KindNotLost Kind = 12
)

// String returns the kind as it is written in metrics.
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
