package memory

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/basilway/basilway/metastore"
)

// Objects is the object store of a Store.
type Objects struct{ store *Store }

// Objects returns the object store, which shares the rates and faults of s.
func (s *Store) Objects() Objects { return Objects{store: s} }

// Put implements metastore.ObjectStore.
func (o Objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.store.admit(ctx, o.store.writes); err != nil {
		return err
	}
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	o.store.counts.Writes++
	o.store.objects[name] = slices.Clone(data)
	return nil
}

// Get implements metastore.ObjectStore.
func (o Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.store.admit(ctx, o.store.reads); err != nil {
		return nil, err
	}
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	o.store.counts.Reads++
	data, ok := o.store.objects[name]
	if !ok {
		return nil, fmt.Errorf("%w: %s", metastore.ErrNotFound, name)
	}
	return slices.Clone(data), nil
}

// List implements metastore.ObjectStore.
func (o Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.store.admit(ctx, o.store.reads); err != nil {
		return nil, err
	}
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	o.store.counts.Reads++
	var names []string
	for name := range o.store.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
