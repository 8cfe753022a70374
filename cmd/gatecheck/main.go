// Command gatecheck disables the safety checks (gates) of the request path one at a time in
// a copy of the sources and prints which tests fail. If no test fails without a check, the
// check is not tested and gatecheck exits with an error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "gatecheck",
		Short: "Disable each safety check in turn and print which tests fail",
		Long: "Copies the tracked files of the current directory, disables the safety checks (gates) in\n" +
			"the copy, one at a time, and prints the tests that fail as a Markdown table.",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), o) },
	}
	c.Flags().BoolVar(&o.failFast, "failfast", false, "end the tests of a gate after the first that fails")
	c.Flags().StringVar(&o.part, "part", "1/1", "run only the I-th of N parts of the gates, as I/N")
	c.Flags().StringVar(&o.only, "only", "", "run only the gates whose name contains this text")
	return c
}

// options are the flags of the command.
type options struct {
	only, part string
	failFast   bool
}

func run(ctx context.Context, o options) error {
	var index, parts int
	if n, err := fmt.Sscanf(o.part, "%d/%d", &index, &parts); n != 2 || index < 1 || index > parts {
		return errors.Join(fmt.Errorf("--part is %q, allowed: I/N with I from 1 to N", o.part), err)
	}
	dir, err := os.MkdirTemp("", "gatecheck-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := copyTracked(ctx, dir); err != nil {
		return err
	}
	fmt.Println("| gate | file | tests that fail when it is open |\n| --- | --- | --- |")
	var problems []error
	for i, g := range gates {
		if i%parts != index-1 || !strings.Contains(g.name, o.only) {
			continue
		}
		failed, err := runTests(ctx, dir, g, o.failFast)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", g.name, err))
		}
		fmt.Printf("| %s | %s | %s |\n", g.name, g.file, strings.Join(failed, ", "))
	}
	return errors.Join(problems...)
}

// copyTracked copies the files of the current directory that git tracks, except those in
// journal, to dir.
func copyTracked(ctx context.Context, dir string) error {
	names, err := exec.CommandContext(ctx, "git", "ls-files", "-z").Output()
	if err != nil {
		return fmt.Errorf("git ls-files: %w", err)
	}
	for name := range strings.SplitSeq(strings.TrimSuffix(string(names), "\x00"), "\x00") {
		if strings.HasPrefix(name, "journal/") {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		target := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// testTimeout bounds the tests of a package; those of internal/node take four minutes on a busy machine.
const testTimeout = "600s"

var failedTestPattern = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// runTests runs the tests with the gate disabled and returns the names of those that fail.
// No failing test is an error.
func runTests(ctx context.Context, dir string, g gate, failFast bool) ([]string, error) {
	restore, err := g.disable(dir)
	if err != nil {
		return nil, err
	}
	vet := exec.CommandContext(ctx, "go", append([]string{"vet"}, g.packages...)...)
	vet.Dir = dir
	if out, err := vet.CombinedOutput(); err != nil {
		return nil, errors.Join(fmt.Errorf("does not build with the gate disabled:\n%s", out), restore())
	}
	test := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1", "-timeout", testTimeout, fmt.Sprintf("-failfast=%t", failFast)}, g.packages...)...)
	test.Dir = dir
	out, err := test.CombinedOutput()
	if restoreErr := restore(); restoreErr != nil {
		return nil, restoreErr
	}
	if err == nil {
		return nil, errors.New("no test fails with the gate disabled")
	}
	var failed []string
	for _, match := range failedTestPattern.FindAllStringSubmatch(string(out), -1) {
		if !slices.Contains(failed, match[1]) {
			failed = append(failed, match[1])
		}
	}
	if len(failed) == 0 {
		return nil, fmt.Errorf("go test failed without a failed test:\n%s", out)
	}
	return failed, nil
}
