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
	sent  chan struct{}
	do    chan struct{}
}

// delayNext makes the store do the next write that matches late. sent is closed when it is sent, and the store does
// it when release is called.
func (l *lateWrites) delayNext(match func(n *virtualNode, txn metastore.Txn) bool) (sent <-chan struct{}, release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.match, l.sent, l.do = match, make(chan struct{}), make(chan struct{})
	do := l.do
	return l.sent, func() { close(do) }
}

// take returns a channel that is closed when the store is to do the write; nil if it is not to be late.
func (l *lateWrites) take(n *virtualNode, txn metastore.Txn) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.match == nil || !l.match(n, txn) {
		return nil
	}
	l.match = nil
	close(l.sent)
	return l.do
}

// writesKeys reports whether a transaction writes rows of a key table.
func writesKeys(txn metastore.Txn) bool {
	return slices.ContainsFunc(txn.Writes, func(w metastore.Write) bool { return strings.HasPrefix(w.Key, keysPrefix) })
}
