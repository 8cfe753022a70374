package peer

import (
	"bytes"
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"
)

// maxBatchBytes is the size at which the writer stops adding frames to a message.
const maxBatchBytes = 64 << 10

// States of an outFrame. It leaves stateQueued once, by compare-and-swap, so the writer and
// withdraw cannot both succeed.
const (
	stateQueued uint32 = iota
	// stateTaken means that the writer has taken the frame and may have sent it.
	stateTaken
	// stateWithdrawn means that the frame is never sent.
	stateWithdrawn
)

// outFrame is an encoded frame in the queue of the writer.
type outFrame struct {
	state atomic.Uint32
	kind  uint8
	data  *bytes.Buffer
}

// withdraw keeps the frame from being sent. It returns false if the writer has already
// taken the frame.
func (o *outFrame) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// bufferPool holds buffers for single frames, batchPool those for whole messages.
var (
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	batchPool  = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

const (
	// maxPooledBuffer and maxPooledBatch are sizes in bytes; larger buffers are rare and
	// are not pooled, so that they do not stay in memory.
	maxPooledBuffer = 16 << 10
	maxPooledBatch  = 2 * maxBatchBytes
)

func releaseBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		bufferPool.Put(b)
	}
}

func releaseBatch(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBatch {
		b.Reset()
		batchPool.Put(b)
	}
}

var errQueueFull = errors.New("write queue is full")

// newOutFrame encodes f.
func (c *conn) newOutFrame(f *frame) (*outFrame, error) {
	buf := bufferPool.Get().(*bytes.Buffer)
	if err := f.encode(buf); err != nil {
		releaseBuffer(buf)
		return nil, err
	}
	return &outFrame{kind: f.Kind, data: buf}, nil
}

// weight returns how many of MaxQueuedBytes a frame takes. A larger frame takes all of
// them, because it could never be queued otherwise.
func (c *conn) weight(o *outFrame) int64 {
	return int64(min(o.data.Len(), c.pool.cfg.MaxQueuedBytes))
}

// push queues o, or returns errQueueFull; it does not wait.
func (c *conn) push(o *outFrame) error {
	weight := c.weight(o)
	if !c.queuedBytes.TryAcquire(weight) {
		return errQueueFull
	}
	select {
	case c.out <- o:
		return nil
	default:
		c.queuedBytes.Release(weight)
		return errQueueFull
	}
}

// enqueue encodes and queues f, or returns an error; it does not wait.
func (c *conn) enqueue(f *frame) error {
	o, err := c.newOutFrame(f)
	if err != nil {
		return err
	}
	return c.push(o)
}

// enqueueWait encodes f and waits for room in the queue. It is for frames that must not be
// dropped, such as responses.
func (c *conn) enqueueWait(f *frame) error {
	o, err := c.newOutFrame(f)
	if err != nil {
		return err
	}
	if c.push(o) == nil {
		return nil
	}
	weight := c.weight(o)
	if err := c.queuedBytes.Acquire(c.ctx, weight); err != nil {
		return err
	}
	select {
	case c.out <- o:
		return nil
	case <-c.closed:
		return errConnClosed
	}
}

// writeLoop sends queued frames until the connection is closed. It sends frames that are
// queued at the same time in one message, which saves a system call for each.
func (c *conn) writeLoop() {
	for {
		var first *outFrame
		select {
		case first = <-c.out:
		case <-c.closed:
			return
		case <-c.finish:
			c.flushAndClose()
			return
		}
		if err := c.writeBatch(first); err != nil {
			c.fail(err)
			return
		}
	}
}

// writeBatch sends first and the frames that are queued behind it. The buffer comes from a
// pool, so that an idle connection holds none.
func (c *conn) writeBatch(first *outFrame) error {
	batch := batchPool.Get().(*bytes.Buffer)
	c.appendToBatch(batch, first)
	c.fillBatch(batch)
	err := c.send(batch.Bytes())
	releaseBatch(batch)
	return err
}

// flushAndClose sends the queued frames and closes the connection.
func (c *conn) flushAndClose() {
	for len(c.out) > 0 {
		if err := c.writeBatch(<-c.out); err != nil {
			c.fail(err)
			return
		}
	}
	_ = c.ws.Close(websocket.StatusNormalClosure, "")
	c.fail(errConnClosed)
}

// fillBatch adds queued frames to the batch. It yields the processor once, so that
// goroutines that are about to queue a frame do so before the message is sent.
func (c *conn) fillBatch(batch *bytes.Buffer) {
	yielded := false
	for batch.Len() < maxBatchBytes {
		select {
		case o := <-c.out:
			c.appendToBatch(batch, o)
			continue
		default:
		}
		if yielded {
			return
		}
		yielded = true
		runtime.Gosched()
	}
}

// appendToBatch appends a frame to the batch unless it was withdrawn.
func (c *conn) appendToBatch(batch *bytes.Buffer, o *outFrame) {
	c.queuedBytes.Release(c.weight(o))
	if o.state.CompareAndSwap(stateQueued, stateTaken) {
		batch.Write(o.data.Bytes())
		c.pool.counters.kinds[o.kind].sent(o.data.Len())
	}
	releaseBuffer(o.data)
}

func (c *conn) send(batch []byte) error {
	if len(batch) == 0 {
		return nil
	}
	c.writingSince.Store(c.pool.now())
	err := c.ws.Write(context.Background(), websocket.MessageBinary, batch)
	c.writingSince.Store(0)
	c.pool.counters.sentMessages.Add(1)
	return err
}
