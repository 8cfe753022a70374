package backendsim

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
)

// state holds a value or a counter for each key.
type state struct {
	mu       sync.Mutex
	values   map[string][]byte
	counters map[string]int64
}

func newState() *state {
	return &state{values: map[string][]byte{}, counters: map[string]int64{}}
}

func (s *state) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.counters[key]; ok {
		return strconv.AppendInt(nil, n, 10)
	}
	return bytes.Clone(s.values[key])
}

func (s *state) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.counters, key)
	s.values[key] = bytes.Clone(value)
}

// add adds the decimal number in payload, 1 if it is empty, to the counter of key and
// returns the new value.
func (s *state) add(key string, payload []byte) ([]byte, error) {
	delta := int64(1)
	if len(payload) > 0 {
		n, err := strconv.ParseInt(string(payload), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("add wants a decimal number: %w", err)
		}
		delta = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[key] += delta
	return strconv.AppendInt(nil, s.counters[key], 10), nil
}
