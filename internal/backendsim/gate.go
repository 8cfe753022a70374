package backendsim

import "sync"

// gate blocks its callers while the server is frozen.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; nil while it is open.
	opened chan struct{}
}

// set closes or opens the gate.
func (g *gate) set(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.opened == nil:
		g.opened = make(chan struct{})
	case !frozen && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// frozen reports whether the gate is closed.
func (g *gate) frozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

// wait waits until the gate is open. It returns false if the server stops first. It takes
// no context, because a frozen process does not notice that a caller has cancelled.
func (g *gate) wait(stopped <-chan struct{}) bool {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return true
		}
		select {
		case <-opened:
		case <-stopped:
			return false
		}
	}
}
