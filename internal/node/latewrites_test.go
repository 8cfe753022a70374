package node

import (
	"slices"
	"strings"
	"sync"

	"github.com/basilway/basilway/metastore"
)

// lateWrites makes the store do writes late, without an answer. The zero value has none.
type lateWrites struct {
	mu   sync.Mutex
	next []*lateWrite
}

// lateWrite is a write that is done late.
type lateWrite struct {
	match func(n *virtualNode, txn metastore.Txn) bool
	// sent is closed when the write is sent, do when the store is to do it, and done when it has.
	sent, do, done chan struct{}
}

// delayNext makes the store do the next write that matches late: when release is called.
func (l *lateWrites) delayNext(match func(n *virtualNode, txn metastore.Txn) bool) *lateWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &lateWrite{match: match, sent: make(chan struct{}), do: make(chan struct{}), done: make(chan struct{})}
	l.next = append(l.next, w)
	return w
}

// release makes the store do the write, which was sent, and returns when it has.
func (w *lateWrite) release() {
	close(w.do)
	<-w.done
}

// forget takes back a write that was not sent yet. It reports whether that was so.
func (l *lateWrites) forget(w *lateWrite) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.next, w)
	if i < 0 {
		return false
	}
	l.next = slices.Delete(l.next, i, i+1)
	return true
}

// take reports whether the write is to be late, and then does it late, in the background.
func (l *lateWrites) take(n *virtualNode, txn metastore.Txn, apply func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.next, func(w *lateWrite) bool { return w.match(n, txn) })
	if i < 0 {
		return false
	}
	w := l.next[i]
	l.next = slices.Delete(l.next, i, i+1)
	close(w.sent)
	n.cluster.pending.Go(func() {
		<-w.do
		apply()
		close(w.done)
	})
	return true
}

// writesKeys reports whether a transaction writes rows of a key table.
func writesKeys(txn metastore.Txn) bool {
	return slices.ContainsFunc(txn.Writes, func(w metastore.Write) bool { return strings.HasPrefix(w.Key, keysPrefix) })
}
