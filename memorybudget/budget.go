package memorybudget

import "time"

// Budget is the account of a process. It is not safe for concurrent use.
type Budget struct {
	config  Config
	nextID  ID
	holders map[ID]*holder
	// used is the bytes of all holders; closing the part of those whose connections are being closed,
	// and closed their number.
	used, closing int64
	closed        int
}

// New returns a budget without holders.
func New(config Config) *Budget { return &Budget{config: config, holders: map[ID]*holder{}} }

// Used returns the bytes of all holders.
func (b *Budget) Used() int64 { return b.used }

// Holders returns the number of holders.
func (b *Budget) Holders() int { return len(b.holders) }

// Known reports whether a holder may hold more: it has neither ended nor is it being closed.
func (b *Budget) Known(id ID) bool {
	h := b.holders[id]
	return h != nil && !h.closing
}

// Full reports whether only small holders may hold more.
func (b *Budget) Full() bool { return b.used >= b.limit(b.config.LargePercent) }

// Open adds a holder of a new connection. If there are as many as there may be, the one that weighs the
// most is closed for it. It doesn't wait for the bytes of those that are being closed.
func (b *Budget) Open(bytes int64, now time.Time) (ID, Decision) {
	var out Decision
	if b.config.MaxHolders > 0 && len(b.holders)-b.closed >= b.config.MaxHolders {
		v := b.heaviest(0, nil, now)
		if v == nil {
			return 0, out
		}
		out.Close = []Closed{b.close(v, now)}
	}
	h := &holder{id: b.nextID + 1, moved: now}
	victims, ok := b.makeRoom(h, bytes, now)
	if !ok {
		return 0, out
	}
	out.Answer, out.Close = Granted, append(out.Close, victims...)
	b.nextID++
	h.bytes = bytes
	b.holders[h.id] = h
	b.used += bytes
	return h.id, out
}

// Grow says that a holder is to hold more bytes. At the edge of the total, others are closed for it if
// they hold at least half as much as it would. A holder that is closed or not known gets nothing.
func (b *Budget) Grow(id ID, bytes int64, now time.Time) Decision {
	h := b.holders[id]
	if h == nil || h.closing {
		return Decision{}
	}
	victims, ok := b.makeRoom(h, bytes, now)
	switch {
	case !ok:
		return Decision{}
	case b.used+bytes > b.limitFor(h, bytes):
		return Decision{Answer: Wait, Close: victims}
	}
	h.bytes += bytes
	b.used += bytes
	return Decision{Answer: Granted, Close: victims}
}

// Fits is Grow if there is room without closing another holder; else nothing is granted.
func (b *Budget) Fits(id ID, bytes int64) bool {
	h := b.holders[id]
	if h == nil || h.closing || b.used+bytes > b.limitFor(h, bytes) {
		return false
	}
	h.bytes += bytes
	b.used += bytes
	return true
}

// Small reports whether a holder would still count as small if it held more bytes.
func (b *Budget) Small(id ID, bytes int64) bool {
	h := b.holders[id]
	return h != nil && h.small(bytes, b.config)
}

// limitFor returns how many bytes all holders may have once h holds more bytes.
func (b *Budget) limitFor(h *holder, bytes int64) int64 {
	if h.small(bytes, b.config) {
		return b.limit(b.config.SmallPercent)
	}
	return b.limit(b.config.LargePercent)
}

// makeRoom closes holders until what is left has room for more bytes of h.
func (b *Budget) makeRoom(h *holder, bytes int64, now time.Time) ([]Closed, bool) {
	victims, ok := b.victims(h, bytes, b.used-b.closing+bytes-b.limitFor(h, bytes), now)
	if !ok {
		return nil, false
	}
	var out []Closed
	for _, v := range victims {
		out = append(out, b.close(v, now))
	}
	return out, true
}

// GrowReserved is Grow from the part of the total that nothing else may use: for refusals, and for what
// the process itself depends on. It closes no other holder.
func (b *Budget) GrowReserved(id ID, bytes int64) bool {
	h := b.holders[id]
	if h == nil || h.closing || b.used+bytes > b.config.Total {
		return false
	}
	h.bytes += bytes
	b.used += bytes
	return true
}

// Shrink says that a holder holds fewer bytes.
func (b *Budget) Shrink(id ID, bytes int64) {
	if h := b.holders[id]; h != nil {
		bytes = min(bytes, h.bytes)
		h.bytes -= bytes
		b.used -= bytes
		if h.closing {
			b.closing -= bytes
		}
	}
}

// Move says that a holder made progress.
func (b *Budget) Move(id ID, now time.Time) {
	if h := b.holders[id]; h != nil {
		h.moved = now
	}
}

// SetActivity says what a holder does. A change counts as progress.
func (b *Budget) SetActivity(id ID, a Activity, now time.Time) {
	if h := b.holders[id]; h != nil && h.activity != a {
		h.activity, h.moved = a, now
	}
}

// Remove forgets a holder whose connection has ended.
func (b *Budget) Remove(id ID) {
	if h := b.holders[id]; h != nil {
		b.Shrink(id, h.bytes)
		delete(b.holders, id)
		if h.closing {
			b.closed--
		}
	}
}

func (b *Budget) limit(percent int64) int64 { return b.config.Total / 100 * percent }

// victims returns the holders to close so that h can grow. It reports false if those that weigh more
// than h do not suffice.
func (b *Budget) victims(h *holder, bytes, missing int64, now time.Time) ([]*holder, bool) {
	var out []*holder
	chosen := map[ID]bool{h.id: true}
	for missing > 0 {
		v := b.heaviest((h.bytes+bytes)/2, chosen, now)
		if v == nil || v.weight(now) < h.weight(now) {
			return nil, false
		}
		chosen[v.id] = true
		out = append(out, v)
		missing -= v.bytes
	}
	return out, true
}

// heaviest returns the holder of at least minBytes that weighs the most of those that may be closed and
// are not excluded; nil if there is none.
func (b *Budget) heaviest(minBytes int64, excluded map[ID]bool, now time.Time) *holder {
	var out *holder
	for _, h := range b.holders {
		if h.bytes < minBytes || excluded[h.id] || !h.closable(now, b.config.SendStall) {
			continue
		}
		if out == nil || h.weight(now) > out.weight(now) || h.weight(now) == out.weight(now) && h.id < out.id {
			out = h
		}
	}
	return out
}

func (b *Budget) close(h *holder, now time.Time) Closed {
	h.closing = true
	b.closing += h.bytes
	b.closed++
	return Closed{ID: h.id, Bytes: h.bytes, Activity: h.activity, Idle: now.Sub(h.moved)}
}
