package inputlimit

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/basilway/basilway/memorybudget"
)

// ErrFull says that there is no room for what a request would hold. Nothing of it was passed on.
var ErrFull = errors.New("the memory for requests is used up")

// Request is the account of one request on a connection. A nil Request has no limit.
type Request struct {
	holder *Holder

	mu sync.Mutex
	// bytes is what the request holds.
	bytes int64
	// running is set while it is handled.
	running bool
	// headBytes is the size of its header as sent.
	headBytes int
	// conn has the read deadline while the body is read; nil if the body is already received.
	conn deadliner
}

// NewRequest returns the account of a request that holds nothing yet.
func (h *Holder) NewRequest() *Request {
	if h == nil {
		return nil
	}
	return &Request{holder: h}
}

// requestKey is the context key of a Request.
type requestKey struct{}

// WithRequest returns a context for the handler of a request.
func WithRequest(ctx context.Context, r *Request) context.Context {
	return context.WithValue(ctx, requestKey{}, r)
}

// FromContext returns the account of a request; nil if it has none.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}

// HeadBytes returns the size of the request's header as it was sent; 0 if it is not known.
func (r *Request) HeadBytes() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headBytes
}

// SetHead says what the request's header was.
func (r *Request) SetHead(m HeadMeter) {
	if r != nil && m.Done() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.headBytes = m.Bytes()
	}
}

func (r *Request) deadlines(c deadliner) {
	if r != nil {
		r.conn = c
	}
}

// Grow accounts for more bytes. It reports false if there is no room.
func (r *Request) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	return r.count(r.holder.grow(bytes), bytes)
}

// TryGrow is Grow if there is room without closing another connection. It doesn't wait.
func (r *Request) TryGrow(bytes int64) bool {
	return r == nil || r.count(r.holder.tryGrow(bytes), bytes)
}

// GrowToRefuse is Grow for what it costs to refuse the request.
func (r *Request) GrowToRefuse(bytes int64) bool {
	return r == nil || r.count(r.holder.growReserved(bytes), bytes)
}

// count adds bytes that were granted to the request's own.
func (r *Request) count(granted bool, bytes int64) bool {
	if !granted {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += bytes
	return true
}

// Shrink says that the request holds fewer bytes.
func (r *Request) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	bytes = min(bytes, r.bytes)
	r.bytes -= bytes
	r.mu.Unlock()
	r.holder.update(func(b *memorybudget.Budget, _ time.Time) { b.Shrink(r.holder.id, bytes) })
}

// SetRunning says whether the request is handled, so that its connection is not closed.
func (r *Request) SetRunning(running bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	changed := r.running != running
	r.running = running
	r.mu.Unlock()
	if !changed {
		return
	}
	r.holder.update(func(b *memorybudget.Budget, now time.Time) {
		if running {
			r.holder.running++
		} else {
			r.holder.running--
		}
		b.SetActivity(r.holder.id, r.holder.activity(), now)
	})
}

// End forgets the request, which holds nothing any more.
func (r *Request) End() {
	if r == nil {
		return
	}
	r.SetRunning(false)
	r.mu.Lock()
	bytes := r.bytes
	r.mu.Unlock()
	r.Shrink(bytes)
}

// receive runs read while the request's connection may be closed: its body is not whole yet.
func (r *Request) receive(read func()) {
	if r == nil {
		read()
		return
	}
	change := func(by int) {
		r.holder.update(func(b *memorybudget.Budget, now time.Time) {
			r.holder.receiving += by
			b.SetActivity(r.holder.id, r.holder.activity(), now)
		})
	}
	change(1)
	defer change(-1)
	read()
}

const (
	// BodyPiece is the number of bytes of a body for which Config.BodyTimeout begins anew.
	BodyPiece = 16 << 10
	// firstRead is the size of the buffer for the first part of a body.
	firstRead = 512
)

// ReadAll reads up to limit bytes of the request's body and accounts for the buffer, times factor for
// what is made of it. It returns ErrFull if there is no room for it.
func (r *Request) ReadAll(body io.Reader, limit int, factor int64) (data []byte, err error) {
	r.receive(func() { data, err = r.readAll(body, limit, factor) })
	return data, err
}

func (r *Request) readAll(body io.Reader, limit int, factor int64) ([]byte, error) {
	var data []byte
	awaited := 0 // the size at which the time for the next piece begins
	timed := r != nil && r.conn != nil && r.holder.limiter.config.BodyTimeout > 0
	if timed {
		defer func() { _ = r.conn.SetReadDeadline(time.Time{}) }() // fails only on a closed connection
	}
	for len(data) < limit {
		if timed && len(data) >= awaited {
			awaited = len(data) + BodyPiece
			_ = r.conn.SetReadDeadline(r.holder.BodyDeadline())
		}
		if len(data) == cap(data) {
			size := min(max(firstRead, 2*cap(data)), limit)
			if !r.Grow(int64(size) * factor) {
				return nil, ErrFull
			}
			old := cap(data) // in use until it is copied
			data = append(make([]byte, 0, size), data...)
			r.Shrink(int64(old) * factor)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 && r != nil {
			r.holder.Moved()
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
