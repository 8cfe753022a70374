package node

import (
	"io"
	"sync"
	"time"

	"github.com/basilway/basilway/pacing"
)

// largeAnswer is the size in bytes from which an answer is paced. Smaller ones take less
// than 20 ms on the slowest links of the users' sites, 13 Mbit/s.
const largeAnswer = 32 << 10

// pacer sends the large answers of this node over the instance's link in turn.
type pacer struct {
	mu      sync.Mutex
	line    *pacing.Line
	waiting map[pacing.ID]chan struct{}
	timer   *time.Timer
}

func newPacer(linkBitsPerSecond float64) *pacer {
	return &pacer{line: pacing.New(pacing.ForLink(linkBitsPerSecond)), waiting: map[pacing.ID]chan struct{}{}}
}

// join adds a transfer that nothing can refuse.
func (p *pacer) join(bytes int64) pacing.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.line.Join(bytes)
}

// admit adds a transfer if the link is expected to get to it within wait. Otherwise it
// returns how long the link is taken.
func (p *pacer) admit(bytes int64, wait time.Duration) (id pacing.ID, backlog time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if backlog = p.line.Backlog(); backlog > wait-p.line.Time(bytes) && backlog > lateBacklog {
		return 0, backlog, false
	}
	return p.line.Join(bytes), backlog, true
}

// lateBacklog is the backlog of a link up to which an answer is accepted that will be late
// anyway; about one large answer on the slowest links of the users' sites.
const lateBacklog = 60 * time.Millisecond

func (p *pacer) resize(id pacing.ID, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line.Resize(id, bytes)
}

// leave ends a transfer; 0 names none.
func (p *pacer) leave(id pacing.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line.Leave(id)
	delete(p.waiting, id)
	p.advance()
}

// backlog returns how long the link takes for what is left of all transfers.
func (p *pacer) backlog() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.line.Backlog()
}

// await waits until n bytes of a transfer may be sent. The wait is bounded by what the
// transfers before it send.
func (p *pacer) await(id pacing.ID, n int) {
	turn := make(chan struct{})
	p.mu.Lock()
	p.waiting[id] = turn
	p.line.Ask(id, n)
	p.advance()
	p.mu.Unlock()
	<-turn
}

// advance lets those send whose turn it is. p.mu must be held.
func (p *pacer) advance() {
	granted, wait := p.line.Advance(time.Now())
	for _, id := range granted {
		if turn := p.waiting[id]; turn != nil {
			close(turn)
			delete(p.waiting, id)
		}
	}
	if wait == 0 {
		return
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.advance()
		})
		return
	}
	p.timer.Reset(wait)
}

// writer returns a writer that waits for the turn of a transfer; 0 names none.
func (p *pacer) writer(w io.Writer, id pacing.ID) io.Writer {
	if id == 0 {
		return w
	}
	return pacedWriter{pacer: p, id: id, w: w}
}

// pacedWriter writes one transfer.
type pacedWriter struct {
	pacer *pacer
	id    pacing.ID
	w     io.Writer
}

func (w pacedWriter) Write(data []byte) (int, error) {
	w.pacer.await(w.id, len(data))
	return w.w.Write(data)
}
