// Package logsink writes log lines without ever blocking their writers.
package logsink

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxLines bounds the lines that wait to be written.
	maxLines = 2048
	// flushInterval is how long lines are collected for one write. Each write is a system
	// call.
	flushInterval = 50 * time.Millisecond
	// syncTimeout bounds the wait of Sync for an output that does not take lines.
	syncTimeout = 200 * time.Millisecond
)

// Writer passes lines to an output on a goroutine of its own. Lines that do not fit into
// its buffer are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// New returns a Writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until the lines so far are written, but not long for a blocked output.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	select {
	case w.flush <- done:
	case <-timeout.C:
		return nil
	}
	select {
	case <-done:
	case <-timeout.C:
	}
	return nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			time.Sleep(flushInterval)
			batch = w.collect(batch)
			w.write(batch)
		case done := <-w.flush:
			w.write(w.collect(batch[:0]))
			close(done)
		}
	}
}

// collect appends the lines that wait.
func (w *Writer) collect(batch []byte) []byte {
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
		// There is nowhere left to report it but the counter.
		w.dropped.Add(1)
	}
}
