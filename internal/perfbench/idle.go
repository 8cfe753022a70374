package perfbench

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/basilway/basilway/internal/connectplatform"
)

// IdleConfig lists the daemons of an idle cluster. PIDs and URLs are in the same order. Store is
// the base URL of the platform stand-in. Rates are averaged over Window.
type IdleConfig struct {
	PIDs   []int
	URLs   []string
	Store  string
	Window time.Duration
}

// IdleResult holds the resource use of one idle daemon: means over all daemons, and maxima
// where the name says so. Daemons and the rates of the store are totals.
type IdleResult struct {
	Daemons       int                `json:"daemons"`
	MemoryMB      float64            `json:"memory_mb"`
	MaxMemoryMB   float64            `json:"max_memory_mb"`
	CPUPercent    float64            `json:"processor_percent"`
	MaxCPUPercent float64            `json:"max_processor_percent"`
	Connections   float64            `json:"connections"`
	Goroutines    float64            `json:"goroutines"`
	HeapMB        float64            `json:"heap_in_use_mb"`
	SentBytes     float64            `json:"sent_bytes_per_second"`
	ReceivedBytes float64            `json:"received_bytes_per_second"`
	BytesByKind   map[string]float64 `json:"bytes_per_second_by_kind"`
	// OverheadBytes estimates the network bytes per second besides the frames themselves:
	// protocol headers, acknowledgements and handshakes.
	OverheadBytes float64 `json:"overhead_bytes_per_second"`
	StoreReads    float64 `json:"store_reads_per_second"`
	StoreWrites   float64 `json:"store_writes_per_second"`
}

const (
	// messageOverheadBytes is the size of the IPv4 and TCP headers with timestamps (52 B) and
	// the WebSocket header with mask (at most 8 B).
	messageOverheadBytes = 60
	// ackBytes is the size of a TCP segment without data. At most one is sent for each
	// message.
	ackBytes = 52
	// dialOverheadBytes is the approximate size of the TCP and WebSocket handshakes and of
	// closing the connection, in both directions.
	dialOverheadBytes = 1600
)

// daemonSample holds the CPU time and the metrics of a daemon at one time.
type daemonSample struct {
	cpu     time.Duration
	metrics map[string]float64
}

// RunIdle measures the daemons over c.Window.
func RunIdle(ctx context.Context, c IdleConfig) (IdleResult, error) {
	if len(c.PIDs) != len(c.URLs) || len(c.PIDs) == 0 {
		return IdleResult{}, trace.BadParameter("got %d process ids and %d URLs, allowed: the same number of both, at least 1", len(c.PIDs), len(c.URLs))
	}
	store := connectplatform.NewClient(connectplatform.Config{URL: c.Store})
	defer store.Close()
	countsBefore, err := store.Counts(ctx)
	if err != nil {
		return IdleResult{}, trace.Wrap(err)
	}
	before, err := c.sample()
	if err != nil {
		return IdleResult{}, err
	}
	begin := time.Now()
	time.Sleep(c.Window)
	after, err := c.sample()
	if err != nil {
		return IdleResult{}, err
	}
	seconds := time.Since(begin).Seconds()
	countsAfter, err := store.Counts(ctx)
	if err != nil {
		return IdleResult{}, trace.Wrap(err)
	}
	r := IdleResult{Daemons: len(c.PIDs), BytesByKind: map[string]float64{}}
	r.StoreReads = float64(countsAfter.Reads-countsBefore.Reads) / seconds
	r.StoreWrites = float64(countsAfter.Writes-countsBefore.Writes) / seconds
	for i, pid := range c.PIDs {
		kb, err := residentKB(pid)
		if err != nil {
			return r, err
		}
		r.add(before[i], after[i], kb/1024, seconds)
	}
	return r, nil
}

// sample returns a sample of each daemon.
func (c IdleConfig) sample() ([]daemonSample, error) {
	samples := make([]daemonSample, len(c.PIDs))
	for i, pid := range c.PIDs {
		var err error
		if samples[i].cpu, err = cpuTime(pid); err != nil {
			return nil, err
		}
		if samples[i].metrics, err = scrape(c.URLs[i]); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

// add adds one daemon's share to the means and updates the maxima.
func (r *IdleResult) add(before, after daemonSample, memoryMB, seconds float64) {
	n := float64(r.Daemons)
	rate := func(name string) float64 { return (after.metrics[name] - before.metrics[name]) / seconds }
	cpuPercent := 100 * (after.cpu - before.cpu).Seconds() / seconds
	r.MemoryMB += memoryMB / n
	r.MaxMemoryMB = max(r.MaxMemoryMB, memoryMB)
	r.CPUPercent += cpuPercent / n
	r.MaxCPUPercent = max(r.MaxCPUPercent, cpuPercent)
	r.Connections += after.metrics["basilway_peer_connections"] / n
	r.Goroutines += after.metrics["go_goroutines"] / n
	r.HeapMB += after.metrics["go_memstats_heap_inuse_bytes"] / (1 << 20) / n
	for name := range after.metrics {
		if kind, ok := kindLabel(name, "basilway_peer_sent_bytes_total"); ok {
			r.SentBytes += rate(name) / n
			r.BytesByKind[kind] += rate(name) / n
		}
		if kind, ok := kindLabel(name, "basilway_peer_received_bytes_total"); ok {
			r.ReceivedBytes += rate(name) / n
			r.BytesByKind[kind] += rate(name) / n
		}
	}
	messages := rate("basilway_peer_sent_messages_total") + rate("basilway_peer_received_messages_total")
	dials := rate("basilway_peer_dials_total") + rate("basilway_peer_accepts_total")
	r.OverheadBytes += (messages*(messageOverheadBytes+ackBytes) + dials*dialOverheadBytes) / n
}
