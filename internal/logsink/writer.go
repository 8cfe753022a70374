// Package logsink writes log lines without blocking the goroutines that log them.
package logsink

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue; further lines are dropped.
	maxQueuedLines = 2048
	// flushInterval is how long lines are collected for one write, because each write is a
	// system call.
	flushInterval = 50 * time.Millisecond
	// syncTimeout bounds how long Sync waits for a blocked output.
	syncTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to an output on its own goroutine. Lines that do not
// fit into the queue are dropped and counted.
type Writer struct {
	out          io.Writer
	lines        chan []byte
	syncRequests chan chan struct{}
	dropped      atomic.Uint64
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), syncRequests: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of p. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until the queued lines are written, for at most syncTimeout. It always returns
// nil, even after a timeout.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	select {
	case w.syncRequests <- done:
	case <-timeout.C:
		return nil
	}
	select {
	case <-done:
	case <-timeout.C:
	}
	return nil
}

// Dropped returns the number of dropped lines. A failed write counts as one line.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			time.Sleep(flushInterval)
			batch = w.appendQueued(batch)
			w.write(batch)
		case done := <-w.syncRequests:
			w.write(w.appendQueued(batch[:0]))
			close(done)
		}
	}
}

// appendQueued appends the queued lines to batch.
func (w *Writer) appendQueued(batch []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

func (w *Writer) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := w.out.Write(batch); err != nil {
		// The error cannot be logged, because the log output itself failed.
		w.dropped.Add(1)
	}
}
