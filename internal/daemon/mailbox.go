package daemon

import "context"

// mailbox is the bounded queue of a worker: one goroutine runs the queued functions in
// order, so the state that they use needs no lock.
type mailbox struct {
	inbox chan func()
	done  chan struct{}
}

func newMailbox(size int) *mailbox {
	return &mailbox{inbox: make(chan func(), size), done: make(chan struct{})}
}

// run executes functions until ctx ends.
func (m *mailbox) run(ctx context.Context) {
	defer close(m.done)
	for {
		select {
		case fn := <-m.inbox:
			fn()
		case <-ctx.Done():
			return
		}
	}
}

// post queues fn and does not wait. It reports false if the mailbox is full.
func (m *mailbox) post(fn func()) bool {
	select {
	case m.inbox <- fn:
		return true
	default:
		return false
	}
}

// do runs fn in the mailbox's goroutine and waits until it has returned. If do returns an
// error after it queued fn, fn may still run.
func (m *mailbox) do(ctx context.Context, fn func()) error {
	finished := make(chan struct{})
	wrapped := func() {
		defer close(finished)
		fn()
	}
	select {
	case m.inbox <- wrapped:
	case <-m.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-m.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}
