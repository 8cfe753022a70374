package prove

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// row is a line of the table: a scenario with the sums of its runs.
type row struct {
	Point      string   `json:"point"`
	Failure    string   `json:"failure"`
	Runs       int      `json:"runs"`
	Requests   int      `json:"requests"`
	Violations int      `json:"violations"`
	P50MS      int64    `json:"unavailable_p50_ms"`
	MaxMS      int64    `json:"unavailable_max_ms"`
	Lost       int      `json:"lost_keys"`
	Breaks     []string `json:"breaks"`

	times []time.Duration
}

// pureBreaks are the deliberate breaks that the tests of the pure packages make.
var pureBreaks = []row{
	{Point: "1", Failure: "lease schedules", Breaks: []string{"lease: TestBreaksAreNoticed"}},
	{Point: "1, 2, 6", Failure: "ownership schedules", Breaks: []string{"ownership: TestModelDetectsBreaks"}},
	{Point: "5", Failure: "request ids", Breaks: []string{"dedupe: TestModelDetectsBreaks"}},
	{Point: "4, 5", Failure: "crashing requests", Breaks: []string{"quarantine: TestOneCrashIsOneStrike"}},
	{Point: "3, 4", Failure: "admission", Breaks: []string{"admission: TestBrokenRulesAreNoticed"}},
}

var report struct {
	mu   sync.Mutex
	rows []*row
}

// record adds a run to the table.
func record(point, failure string, requests, violations int, times map[string]time.Duration, lost int, breaks []string) {
	report.mu.Lock()
	defer report.mu.Unlock()
	i := slices.IndexFunc(report.rows, func(r *row) bool { return r.Failure == failure })
	if i < 0 {
		report.rows = append(report.rows, &row{Point: point, Failure: failure, Breaks: breaks})
		i = len(report.rows) - 1
	}
	r := report.rows[i]
	r.Runs++
	r.Requests += requests
	r.Violations += violations
	r.Lost += lost
	for _, took := range times {
		r.times = append(r.times, took)
	}
	slices.Sort(r.times)
	if len(r.times) > 0 {
		r.P50MS = r.times[len(r.times)/2].Milliseconds()
		r.MaxMS = r.times[len(r.times)-1].Milliseconds()
	}
	// Written after each run, so that an aborted proof leaves what it had found.
	if err := writeReport(); err != nil {
		fmt.Fprintln(os.Stderr, "table not written:", err)
	}
}

// printReport prints the table.
func printReport() {
	if len(report.rows) > 0 {
		fmt.Print("\n" + table())
	}
}

func table() string {
	var b strings.Builder
	b.WriteString("| invariants | failure | runs | requests | violations | lost keys | unavailable p50 / max (ms) | breaks that the checks catch |\n")
	b.WriteString("| --- | --- | ---: | ---: | ---: | ---: | ---: | --- |\n")
	for _, r := range report.rows {
		took := "-"
		if len(r.times) > 0 {
			took = fmt.Sprintf("%d / %d", r.P50MS, r.MaxMS)
		}
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %d | %s | %s |\n", r.Point, r.Failure, r.Runs, r.Requests, r.Violations, r.Lost, took, strings.Join(r.Breaks, ", "))
	}
	for _, r := range pureBreaks {
		fmt.Fprintf(&b, "| %s | %s | - | - | - | - | - | %s |\n", r.Point, r.Failure, strings.Join(r.Breaks, ", "))
	}
	return b.String()
}

// writeReport writes the table to the folder in BASILWAY_PROVE_OUT, if there is one.
func writeReport() error {
	dir := os.Getenv("BASILWAY_PROVE_OUT")
	if dir == "" {
		return nil
	}
	data, err := json.MarshalIndent(report.rows, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "prove.json"), data, 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "prove.md"), []byte(table()), 0o644)
}
