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

// States of an outFrame. Whoever changes it from queued decides.
const (
	stateQueued uint32 = iota
	// stateTaken means that the writer may have sent the frame.
	stateTaken
	// stateWithdrawn means that the frame is certain not to be sent.
	stateWithdrawn
)

// outFrame is an encoded frame in the queue of the writer.
type outFrame struct {
	state atomic.Uint32
	kind  uint8
	data  *bytes.Buffer
}

// withdraw returns true if the frame is certain not to be sent.
func (o *outFrame) withdraw() bool {
	return o.state.CompareAndSwap(stateQueued, stateWithdrawn)
}

// bufferPool holds buffers of single frames, batchPool those of whole messages.
var (
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	batchPool  = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

const (
	// maxPooledBuffer and maxPooledBatch keep rare large buffers from staying in memory.
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

// weight is what a frame takes of the queue's bytes.
func (c *conn) weight(o *outFrame) int64 {
	return int64(min(o.data.Len(), c.pool.cfg.MaxQueuedBytes))
}

// push queues o without waiting.
func (c *conn) push(o *outFrame) error {
	weight := c.weight(o)
	if !c.queued.TryAcquire(weight) {
		return errQueueFull
	}
	select {
	case c.out <- o:
		return nil
	default:
		c.queued.Release(weight)
		return errQueueFull
	}
}

// enqueue queues a control frame without waiting.
func (c *conn) enqueue(f *frame) error {
	o, err := c.newOutFrame(f)
	if err != nil {
		return err
	}
	return c.push(o)
}

// enqueueWait queues a frame that must not be dropped, such as an answer.
func (c *conn) enqueueWait(f *frame) error {
	o, err := c.newOutFrame(f)
	if err != nil {
		return err
	}
	if c.push(o) == nil {
		return nil
	}
	weight := c.weight(o)
	if err := c.queued.Acquire(c.lost, weight); err != nil {
		return err
	}
	select {
	case c.out <- o:
		return nil
	case <-c.closed:
		return errConnClosed
	}
}

// write sends queued frames until the connection is closed. Frames that are ready
// together go out in one message, which saves a system call for each.
func (c *conn) write() {
	for {
		var first *outFrame
		select {
		case first = <-c.out:
		case <-c.closed:
			return
		case <-c.finish:
			c.writeRest()
			return
		}
		if err := c.writeBatch(first); err != nil {
			c.fail(err)
			return
		}
	}
}

// writeBatch sends a frame and those that are ready. The buffer comes from a pool, so
// that a connection without traffic holds none.
func (c *conn) writeBatch(first *outFrame) error {
	batch := batchPool.Get().(*bytes.Buffer)
	c.take(batch, first)
	c.gather(batch)
	err := c.send(batch.Bytes())
	releaseBatch(batch)
	return err
}

// writeRest sends what is in the queue and closes the connection.
func (c *conn) writeRest() {
	for len(c.out) > 0 {
		if err := c.writeBatch(<-c.out); err != nil {
			c.fail(err)
			return
		}
	}
	_ = c.ws.Close(websocket.StatusNormalClosure, "")
	c.fail(errConnClosed)
}

// gather adds frames that are ready. It yields once, so that goroutines that are about to
// queue a frame do so before the message is sent.
func (c *conn) gather(batch *bytes.Buffer) {
	yielded := false
	for batch.Len() < maxBatchBytes {
		select {
		case o := <-c.out:
			c.take(batch, o)
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

// take appends a frame to the batch unless it was withdrawn.
func (c *conn) take(batch *bytes.Buffer, o *outFrame) {
	c.queued.Release(c.weight(o))
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
