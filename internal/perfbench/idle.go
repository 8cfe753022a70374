package perfbench

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/basilway/basilway/internal/connectplatform"
)

// IdleConfig names the daemons of an idle cluster. PIDs and URLs are in the same order.
type IdleConfig struct {
	PIDs   []int
	URLs   []string
	Store  string
	Window time.Duration
}

// IdleResult is what an idle daemon costs. Averages and maxima are over the daemons.
type IdleResult struct {
	Daemons      int                `json:"daemons"`
	MemoryMB     float64            `json:"memory_mb"`
	MaxMemoryMB  float64            `json:"max_memory_mb"`
	Processor    float64            `json:"processor_percent"`
	MaxProcessor float64            `json:"max_processor_percent"`
	Connections  float64            `json:"connections"`
	Goroutines   float64            `json:"goroutines"`
	HeapMB       float64            `json:"heap_in_use_mb"`
	SentBytes    float64            `json:"sent_bytes_per_second"`
	Received     float64            `json:"received_bytes_per_second"`
	Kinds        map[string]float64 `json:"bytes_per_second_by_kind"`
	// Overhead estimates what the frames cost on the network beyond their bytes.
	Overhead    float64 `json:"overhead_bytes_per_second"`
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
}

const (
	// messageOverhead is IPv4 and TCP with time stamps (52 B), and the WebSocket header
	// with mask (8 B at most).
	messageOverhead = 60
	// acknowledgement is a TCP segment without data; one for each message is the most.
	acknowledgement = 52
	// dialOverhead is about the size of the handshakes of TCP and WebSocket and of the
	// closing, in both directions.
	dialOverhead = 1600
)

// reading is the counters of one daemon at a time.
type reading struct {
	processor time.Duration
	metrics   map[string]float64
}

// RunIdle measures the daemons over the window.
func RunIdle(ctx context.Context, c IdleConfig) (IdleResult, error) {
	if len(c.PIDs) != len(c.URLs) || len(c.PIDs) == 0 {
		return IdleResult{}, trace.BadParameter("%d process ids and %d URLs", len(c.PIDs), len(c.URLs))
	}
	store := connectplatform.NewClient(connectplatform.Config{URL: c.Store})
	defer store.Close()
	readsBefore, err := store.Counts(ctx)
	if err != nil {
		return IdleResult{}, trace.Wrap(err)
	}
	before, err := c.read()
	if err != nil {
		return IdleResult{}, err
	}
	begin := time.Now()
	time.Sleep(c.Window)
	after, err := c.read()
	if err != nil {
		return IdleResult{}, err
	}
	seconds := time.Since(begin).Seconds()
	readsAfter, err := store.Counts(ctx)
	if err != nil {
		return IdleResult{}, trace.Wrap(err)
	}
	r := IdleResult{Daemons: len(c.PIDs), Kinds: map[string]float64{}}
	r.StoreReads = float64(readsAfter.Reads-readsBefore.Reads) / seconds
	r.StoreWrites = float64(readsAfter.Writes-readsBefore.Writes) / seconds
	for i, pid := range c.PIDs {
		kb, err := residentKB(pid)
		if err != nil {
			return r, err
		}
		r.add(before[i], after[i], kb/1024, seconds)
	}
	return r, nil
}

func (c IdleConfig) read() ([]reading, error) {
	readings := make([]reading, len(c.PIDs))
	for i, pid := range c.PIDs {
		var err error
		if readings[i].processor, err = processorTime(pid); err != nil {
			return nil, err
		}
		if readings[i].metrics, err = scrape(c.URLs[i]); err != nil {
			return nil, err
		}
	}
	return readings, nil
}

// add adds one daemon's part of the averages.
func (r *IdleResult) add(before, after reading, memoryMB, seconds float64) {
	n := float64(r.Daemons)
	rate := func(name string) float64 { return (after.metrics[name] - before.metrics[name]) / seconds }
	processor := 100 * (after.processor - before.processor).Seconds() / seconds
	r.MemoryMB += memoryMB / n
	r.MaxMemoryMB = max(r.MaxMemoryMB, memoryMB)
	r.Processor += processor / n
	r.MaxProcessor = max(r.MaxProcessor, processor)
	r.Connections += after.metrics["basilway_peer_connections"] / n
	r.Goroutines += after.metrics["go_goroutines"] / n
	r.HeapMB += after.metrics["go_memstats_heap_inuse_bytes"] / (1 << 20) / n
	for name := range after.metrics {
		if kind, ok := kindOf(name, "basilway_peer_sent_bytes_total"); ok {
			r.SentBytes += rate(name) / n
			r.Kinds[kind] += rate(name) / n
		}
		if kind, ok := kindOf(name, "basilway_peer_received_bytes_total"); ok {
			r.Received += rate(name) / n
			r.Kinds[kind] += rate(name) / n
		}
	}
	messages := rate("basilway_peer_sent_messages_total") + rate("basilway_peer_received_messages_total")
	dials := rate("basilway_peer_dials_total") + rate("basilway_peer_accepts_total")
	r.Overhead += (messages*(messageOverhead+acknowledgement) + dials*dialOverhead) / n
}
