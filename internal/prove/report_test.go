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

// row is a row of the table: a scenario with the totals of its runs.
type row struct {
	Invariants string   `json:"point"`
	Failure    string   `json:"failure"`
	Runs       int      `json:"runs"`
	Requests   int      `json:"requests"`
	Violations int      `json:"violations"`
	P50MS      int64    `json:"unavailable_p50_ms"`
	MaxMS      int64    `json:"unavailable_max_ms"`
	Lost       int      `json:"lost_keys"`
	Mutations  []string `json:"breaks"`

	times []time.Duration
}

// packageMutations names the mutation tests of other packages, which test invariants without
// starting processes.
var packageMutations = []row{
	{Invariants: "1", Failure: "lease schedules", Mutations: []string{"lease: TestMutationsAreDetected"}},
	{Invariants: "1, 2, 6", Failure: "ownership schedules", Mutations: []string{"ownership: TestModelDetectsMutations"}},
	{Invariants: "5", Failure: "request ids", Mutations: []string{"dedupe: TestModelDetectsMutations"}},
	{Invariants: "4, 5", Failure: "crashing requests", Mutations: []string{"quarantine: TestOneCrashIsOneStrike"}},
	{Invariants: "3, 4", Failure: "admission", Mutations: []string{"admission: TestMutationsAreDetected"}},
}

var report struct {
	mu   sync.Mutex
	rows []*row
}

// recordRun adds a run to the table.
func recordRun(invariants, failure string, requests, violations int, times map[string]time.Duration, lost int, mutations []string) {
	report.mu.Lock()
	defer report.mu.Unlock()
	i := slices.IndexFunc(report.rows, func(r *row) bool { return r.Failure == failure })
	if i < 0 {
		report.rows = append(report.rows, &row{Invariants: invariants, Failure: failure, Mutations: mutations})
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
	// Write the table after each run, so that an aborted test leaves its results so far.
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
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %d | %s | %s |\n", r.Invariants, r.Failure, r.Runs, r.Requests, r.Violations, r.Lost, took, strings.Join(r.Mutations, ", "))
	}
	for _, r := range packageMutations {
		fmt.Fprintf(&b, "| %s | %s | - | - | - | - | - | %s |\n", r.Invariants, r.Failure, strings.Join(r.Mutations, ", "))
	}
	return b.String()
}

// writeReport writes the table to the directory in BASILWAY_PROVE_OUT, if it is set.
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
