package backendsim

import (
	"encoding/json"
	"io"
	"sync"
)

// Execution is an entry of the execution log: a request that began to run.
type Execution struct {
	RequestID  string `json:"request_id"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	Method     string `json:"method"`
	Team       string `json:"team"`
	Idempotent bool   `json:"idempotent"`
	Instance   string `json:"instance"`
	// Incarnation is the incarnation in the grant of the request.
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// StartedUS is the Unix time in microseconds at which the request began to run.
	StartedUS int64 `json:"started_us"`
}

// ExecutionLog is the response body of GET /executions.
type ExecutionLog struct {
	ProcessID  uint64      `json:"process_id"`
	Executions []Execution `json:"executions"`
	// Dropped is the number of entries that were overwritten by newer ones.
	Dropped uint64 `json:"dropped"`
	// Repeated is the number of non-idempotent executions whose request id was already in
	// the log.
	Repeated uint64 `json:"repeated"`
}

// executions is a bounded log of executions, with the number of runs of each request id.
type executions struct {
	mu sync.Mutex
	// out receives each entry as a line of JSON before the request takes effect; may be nil.
	out      *json.Encoder
	size     int
	ring     []Execution
	next     int
	runs     map[string]int
	dropped  uint64
	repeated uint64
}

func newExecutions(size int, out io.Writer) *executions {
	l := &executions{size: size, runs: map[string]int{}}
	if out != nil {
		l.out = json.NewEncoder(out)
	}
	return l
}

func (l *executions) record(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil {
		_ = l.out.Encode(e)
	}
	if e.RequestID != "" {
		if l.runs[e.RequestID] > 0 && !e.Idempotent {
			l.repeated++
		}
		l.runs[e.RequestID]++
	}
	if len(l.ring) < l.size {
		l.ring = append(l.ring, e)
		return
	}
	oldest := l.ring[l.next].RequestID
	if l.runs[oldest]--; l.runs[oldest] <= 0 {
		delete(l.runs, oldest)
	}
	l.dropped++
	l.ring[l.next] = e
	l.next = (l.next + 1) % l.size
}

// snapshot returns the log, oldest first.
func (l *executions) snapshot() ExecutionLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]Execution, 0, len(l.ring))
	entries = append(entries, l.ring[l.next:]...)
	entries = append(entries, l.ring[:l.next]...)
	return ExecutionLog{Executions: entries, Dropped: l.dropped, Repeated: l.repeated}
}

// count returns how often the request with this id ran.
func (l *executions) count(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[requestID]
}
