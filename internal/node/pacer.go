package node

import (
	"io"
	"sync"
	"time"

	"github.com/basilway/basilway/pacing"
)

// largeResponse is the size in bytes from which a response is paced. Smaller ones take about
// 20 ms at most on the slowest links of the users' sites, 13 Mbit/s.
const largeResponse = 32 << 10

// pacer schedules the large responses of this node on the instance's link.
type pacer struct {
	mu      sync.Mutex
	pacer   *pacing.Pacer
	waiting map[pacing.ID]chan struct{}
	timer   *time.Timer
}

func newPacer(linkBitsPerSecond float64) *pacer {
	return &pacer{pacer: pacing.New(pacing.ForLink(linkBitsPerSecond)), waiting: map[pacing.ID]chan struct{}{}}
}

// add adds a transfer unconditionally.
func (p *pacer) add(bytes int64) pacing.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Add(bytes)
}

// admit adds a transfer if the link is expected to have sent it within wait, or if the
// backlog is at most maxLateBacklog. backlog is how long the link needs for the transfers
// before it.
func (p *pacer) admit(bytes int64, wait time.Duration) (id pacing.ID, backlog time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if backlog = p.pacer.Backlog(); backlog > wait-p.pacer.TransferTime(bytes) && backlog > maxLateBacklog {
		return 0, backlog, false
	}
	return p.pacer.Add(bytes), backlog, true
}

// maxLateBacklog is the backlog of the link up to which a response is admitted although it
// will be late; about one large response on the slowest links of the users' sites.
const maxLateBacklog = 60 * time.Millisecond

func (p *pacer) resize(id pacing.ID, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Resize(id, bytes)
}

// remove ends a transfer; 0 is no transfer.
func (p *pacer) remove(id pacing.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Remove(id)
	delete(p.waiting, id)
	p.advance()
}

// backlog returns how long the link needs for the rest of all transfers.
func (p *pacer) backlog() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Backlog()
}

// waitTurn blocks until n bytes of a transfer may be sent. The wait is bounded by what the
// transfers before it send.
func (p *pacer) waitTurn(id pacing.ID, n int) {
	turn := make(chan struct{})
	p.mu.Lock()
	p.waiting[id] = turn
	p.pacer.Request(id, n)
	p.advance()
	p.mu.Unlock()
	<-turn
}

// advance wakes the transfers that may send now. p.mu must be held.
func (p *pacer) advance() {
	granted, wait := p.pacer.Advance(time.Now())
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

// writer returns a writer that paces a transfer; for 0, it returns w.
func (p *pacer) writer(w io.Writer, id pacing.ID) io.Writer {
	if id == 0 {
		return w
	}
	return pacedWriter{pacer: p, id: id, w: w}
}

// pacedWriter is the writer of one transfer. Each write waits for its turn on the link.
type pacedWriter struct {
	pacer *pacer
	id    pacing.ID
	w     io.Writer
}

func (w pacedWriter) Write(data []byte) (int, error) {
	w.pacer.waitTurn(w.id, len(data))
	return w.w.Write(data)
}
