package node

import (
	"slices"
	"strings"
	"sync"

	"github.com/basilway/basilway/metastore"
)

// lateWrites makes the store do writes late, without an answer.
type lateWrites struct {
	mu    sync.Mutex
	match func(n *virtualNode, txn metastore.Txn) bool
	// sent is closed when the write is sent, do when the store is to do it, and done when it has.
	sent, do, done chan struct{}
}

// delayNext makes the store do the next write that matches late. sent is closed when it is sent, and the store does
// it before release returns.
func (l *lateWrites) delayNext(match func(n *virtualNode, txn metastore.Txn) bool) (sent <-chan struct{}, release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.match, l.sent, l.do, l.done = match, make(chan struct{}), make(chan struct{}), make(chan struct{})
	do, done := l.do, l.done
	return l.sent, func() {
		close(do)
		<-done
	}
}

// take reports whether the write is to be late, and then does it late, in the background.
func (l *lateWrites) take(n *virtualNode, txn metastore.Txn, apply func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.match == nil || !l.match(n, txn) {
		return false
	}
	l.match = nil
	close(l.sent)
	do, done := l.do, l.done
	n.cluster.pending.Go(func() {
		<-do
		apply()
		close(done)
	})
	return true
}

// writesKeys reports whether a transaction writes rows of a key table.
func writesKeys(txn metastore.Txn) bool {
	return slices.ContainsFunc(txn.Writes, func(w metastore.Write) bool { return strings.HasPrefix(w.Key, keysPrefix) })
}
