package memorybudget

import "time"

// Config holds the bounds of a Budget.
type Config struct {
	// Total bounds the bytes of all holders.
	Total int64
	// SmallBytes is how much a holder may hold to count as small.
	SmallBytes int64
	// LargePercent is the percentage of Total up to which holders that are not small may hold more, and
	// SmallPercent that for small ones. The rest is reserved; see GrowReserved.
	LargePercent, SmallPercent int64
	// SendStall is how long a client must not have read anything until its connection may be closed.
	SendStall time.Duration
	// MaxHolders bounds the holders; 0 means no bound.
	MaxHolders int
}

// DefaultConfig returns the bounds that a node uses, without MaxHolders.
func DefaultConfig(total int64) Config {
	return Config{Total: total, SmallBytes: 96 << 10, LargePercent: 70, SmallPercent: 90, SendStall: time.Second}
}
