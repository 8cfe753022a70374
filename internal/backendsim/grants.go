package backendsim

import (
	"fmt"
	"sync"
	"time"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
)

// grants holds the highest epoch seen for each key.
type grants struct {
	mu     sync.Mutex
	epochs map[string]uint64
}

// check returns an error if the grant does not allow a request for key now.
func (g *grants) check(key string, grant *backendv1.Grant, now time.Time) error {
	if grant == nil {
		return fmt.Errorf("request has no grant")
	}
	if now.UnixMicro() > grant.GetNotAfterUs() {
		return fmt.Errorf("grant of %s is void since %d us", grant.GetInstance(), now.UnixMicro()-grant.GetNotAfterUs())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if highest := g.epochs[key]; grant.GetEpoch() < highest {
		return fmt.Errorf("epoch %d of %s is superseded by %d", grant.GetEpoch(), grant.GetInstance(), highest)
	}
	g.epochs[key] = grant.GetEpoch()
	return nil
}
