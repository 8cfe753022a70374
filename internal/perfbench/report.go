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

// targetDaemons is the size for which the design states what control may cost.
const targetDaemons = 1900

// Report is all that one run measured.
type Report struct {
	Commit   string          `json:"commit"`
	Load     string          `json:"machine_load"`
	Paths    *PathsResult    `json:"paths,omitempty"`
	Overload *OverloadResult `json:"overload,omitempty"`
	Idle     []IdleResult    `json:"idle,omitempty"`
}

// readReport reads the results that are in dir.
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

// readJSON leaves v as it is if the file does not exist.
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
		pathTable(w, r.Paths.Fastest)
		fmt.Fprintf(w, "\nAt %.0f requests a second:\n\n", r.Paths.Rate)
		pathTable(w, r.Paths.AtRate)
	}
	if o := r.Overload; o != nil {
		fmt.Fprintf(w, "\nOverload of a backend server with a capacity of %.0f requests a second:\n\n", o.Capacity)
		fmt.Fprintln(w, "| offered | goodput | p99 ms | goodput after a freeze |\n| --- | --- | --- | --- |")
		fmt.Fprintf(w, "| %.0fx | %.1f %% | %.1f | %.1f %% |\n", o.Factor, 100*o.Overloaded, float64(o.P99Micros)/1000, 100*o.AfterFreeze)
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
			100*p.Share, p.P50Micros/1000, p.P99Micros/1000, p.AddedP99/1000, p.OwnerMicros, p.ForwarderMicros, p.BackendMicros, failed)
	}
}

func idleTable(w io.Writer, results []IdleResult) {
	fmt.Fprintln(w, "| daemons | memory MB | processor % | connections | goroutines | frame bytes/s | with overhead, bytes/s | store reads/s | store writes/s |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, i := range results {
		fmt.Fprintf(w, "| %d | %.1f (%.1f) | %.2f (%.2f) | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f |\n", i.Daemons, i.MemoryMB, i.MaxMemoryMB,
			i.Processor, i.MaxProcessor, i.Connections, i.Goroutines, i.SentBytes+i.Received,
			i.SentBytes+i.Received+i.Overhead, i.StoreReads, i.StoreWrites)
	}
	if len(results) < 2 {
		return
	}
	at := func(value func(IdleResult) float64) (float64, float64) { return extrapolate(results, value) }
	memory, memorySlope := at(func(i IdleResult) float64 { return i.MemoryMB })
	processor, processorSlope := at(func(i IdleResult) float64 { return i.Processor })
	bytes, bytesSlope := at(func(i IdleResult) float64 { return i.SentBytes + i.Received + i.Overhead })
	fmt.Fprintf(w, "\nSlope for each further daemon: %.4f MB, %.5f %% of a core, %.2f bytes a second. By the slope at %d daemons: "+
		"%.1f MB, %.2f %% of a core, %.0f bytes a second.\n",
		memorySlope, processorSlope, bytesSlope, targetDaemons, memory, processor, bytes)
}

// extrapolate returns the value at targetDaemons on the line through the two largest
// sizes, and the slope of that line.
func extrapolate(results []IdleResult, value func(IdleResult) float64) (float64, float64) {
	a, b := results[len(results)-2], results[len(results)-1]
	slope := (value(b) - value(a)) / float64(b.Daemons-a.Daemons)
	return value(b) + slope*float64(targetDaemons-b.Daemons), slope
}
