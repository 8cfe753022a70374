package perfbench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"
)

// targetDaemons is the cluster size for which the design limits the cost of the control
// plane.
const targetDaemons = 1900

// Report holds all results of one run of the benchmarks.
type Report struct {
	Commit   string          `json:"commit"`
	Load     string          `json:"machine_load"`
	Paths    *PathsResult    `json:"paths,omitempty"`
	Overload *OverloadResult `json:"overload,omitempty"`
	Idle     []IdleResult    `json:"idle,omitempty"`
}

// readReport reads the results in dir. Results without a file are left out.
func readReport(dir string) (Report, error) {
	var r Report
	if err := readJSON(filepath.Join(dir, "paths.json"), &r.Paths); err != nil {
		return r, err
	}
	if err := readJSON(filepath.Join(dir, "overload.json"), &r.Overload); err != nil {
		return r, err
	}
	names, err := filepath.Glob(filepath.Join(dir, "idle-*.json"))
	if err != nil {
		return r, trace.Wrap(err)
	}
	for _, name := range names {
		var idle IdleResult
		if err := readJSON(name, &idle); err != nil {
			return r, err
		}
		r.Idle = append(r.Idle, idle)
	}
	slices.SortFunc(r.Idle, func(a, b IdleResult) int { return a.Daemons - b.Daemons })
	return r, nil
}

// readJSON decodes a file into v. If the file does not exist, v is unchanged.
func readJSON(name string, v any) error {
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(json.Unmarshal(data, v), name)
}

func (r Report) write(dir string, out io.Writer) error {
	if err := writeJSON(filepath.Join(dir, "bench.json"), r); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "bench.md"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	r.markdown(io.MultiWriter(out, file))
	return trace.ConvertSystemError(file.Close())
}

func (r Report) markdown(w io.Writer) {
	fmt.Fprintf(w, "Commit %s. Machine load: %s.\n", r.Commit, r.Load)
	if r.Paths != nil {
		fmt.Fprintf(w, "\nAs fast as possible, %d callers:\n\n", r.Paths.Callers)
		pathTable(w, r.Paths.Unlimited)
		fmt.Fprintf(w, "\nAt %.0f requests a second:\n\n", r.Paths.Rate)
		pathTable(w, r.Paths.AtRate)
	}
	if o := r.Overload; o != nil {
		fmt.Fprintf(w, "\nOverload of a backend server with a capacity of %.0f requests a second:\n\n", o.Capacity)
		fmt.Fprintln(w, "| offered | goodput | p99 ms | goodput after a freeze |\n| --- | --- | --- | --- |")
		fmt.Fprintf(w, "| %.0fx | %.1f %% | %.1f | %.1f %% |\n", o.Factor, 100*o.OverloadGoodput, float64(o.P99Micros)/1000, 100*o.GoodputAfterFreeze)
	}
	if len(r.Idle) > 0 {
		fmt.Fprintln(w, "\nIdle daemons, means of all daemons (maximum in parentheses); bytes are sent and received:")
		fmt.Fprintln(w)
		idleTable(w, r.Idle)
	}
}

func pathTable(w io.Writer, results []PathResult) {
	fmt.Fprintln(w, "| path | requests/s | share of direct | p50 ms | p99 ms | added p99 ms | owner CPU us | forwarder CPU us | backend CPU us | failed |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range results {
		failed := uint64(0)
		for _, n := range p.Failed {
			failed += n
		}
		fmt.Fprintf(w, "| %s | %.0f | %.0f %% | %.2f | %.2f | %.2f | %.0f | %.0f | %.0f | %d |\n", p.Path, p.PerSecond,
			100*p.ShareOfDirect, p.P50Micros/1000, p.P99Micros/1000, p.AddedP99Micros/1000, p.OwnerCPUMicros, p.ForwarderCPUMicros, p.BackendCPUMicros, failed)
	}
}

func idleTable(w io.Writer, results []IdleResult) {
	fmt.Fprintln(w, "| daemons | memory MB | processor % | connections | goroutines | frame bytes/s | with overhead, bytes/s | store reads/s | store writes/s |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, i := range results {
		fmt.Fprintf(w, "| %d | %.1f (%.1f) | %.2f (%.2f) | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f |\n", i.Daemons, i.MemoryMB, i.MaxMemoryMB,
			i.CPUPercent, i.MaxCPUPercent, i.Connections, i.Goroutines, i.SentBytes+i.ReceivedBytes,
			i.SentBytes+i.ReceivedBytes+i.OverheadBytes, i.StoreReads, i.StoreWrites)
	}
	if len(results) < 2 {
		return
	}
	at := func(value func(IdleResult) float64) (float64, float64) { return extrapolate(results, value) }
	memory, memorySlope := at(func(i IdleResult) float64 { return i.MemoryMB })
	cpu, cpuSlope := at(func(i IdleResult) float64 { return i.CPUPercent })
	bytes, bytesSlope := at(func(i IdleResult) float64 { return i.SentBytes + i.ReceivedBytes + i.OverheadBytes })
	fmt.Fprintf(w, "\nSlope per additional daemon: %.4f MB, %.5f %% of a core, %.2f bytes a second. Extrapolated to %d daemons: "+
		"%.1f MB, %.2f %% of a core, %.0f bytes a second.\n",
		memorySlope, cpuSlope, bytesSlope, targetDaemons, memory, cpu, bytes)
}

// extrapolate returns the value at targetDaemons on the line through the results with the
// two largest numbers of daemons, and the slope of that line.
func extrapolate(results []IdleResult, value func(IdleResult) float64) (float64, float64) {
	a, b := results[len(results)-2], results[len(results)-1]
	slope := (value(b) - value(a)) / float64(b.Daemons-a.Daemons)
	return value(b) + slope*float64(targetDaemons-b.Daemons), slope
}
