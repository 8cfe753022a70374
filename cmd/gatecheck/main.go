// Command gatecheck forces each safety gate of the request path open, one at a time, in a
// copy of the sources, and prints which tests fail. A gate that can be opened without a
// failing test is not proved; gatecheck then ends with an error.
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
	var only string
	c := &cobra.Command{
		Use:   "gatecheck",
		Short: "Force each safety gate open and print which tests fail",
		Long: "Copies the tracked files of the current directory, forces each gate open in the copy,\n" +
			"one at a time, and prints the tests that fail as a Markdown table.",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), only) },
	}
	c.Flags().StringVar(&only, "only", "", "check the gates whose name contains this text")
	return c
}

func run(ctx context.Context, only string) error {
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
	for _, g := range gates {
		if !strings.Contains(g.name, only) {
			continue
		}
		failed, err := check(ctx, dir, g)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", g.name, err))
		}
		fmt.Printf("| %s | %s | %s |\n", g.name, g.file, strings.Join(failed, ", "))
	}
	return errors.Join(problems...)
}

// copyTracked copies the files that git knows from the current directory.
func copyTracked(ctx context.Context, dir string) error {
	list, err := exec.CommandContext(ctx, "git", "ls-files", "-z").Output()
	if err != nil {
		return fmt.Errorf("git ls-files: %w", err)
	}
	for name := range strings.SplitSeq(strings.TrimSuffix(string(list), "\x00"), "\x00") {
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

// testTimeout bounds the tests of one gate; they take half a minute on a busy machine.
const testTimeout = "180s"

var failedTest = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// check runs the tests with the gate open and returns those that fail.
func check(ctx context.Context, dir string, g gate) ([]string, error) {
	restore, err := g.force(dir)
	if err != nil {
		return nil, err
	}
	build := exec.CommandContext(ctx, "go", append([]string{"vet"}, g.packages...)...)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return nil, errors.Join(fmt.Errorf("does not build when open:\n%s", out), restore())
	}
	test := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1", "-timeout", testTimeout}, g.packages...)...)
	test.Dir = dir
	out, err := test.CombinedOutput()
	if restoreErr := restore(); restoreErr != nil {
		return nil, restoreErr
	}
	if err == nil {
		return nil, errors.New("no test fails when it is open")
	}
	var failed []string
	for _, match := range failedTest.FindAllStringSubmatch(string(out), -1) {
		if !slices.Contains(failed, match[1]) {
			failed = append(failed, match[1])
		}
	}
	if len(failed) == 0 {
		return nil, fmt.Errorf("tests end without a result:\n%s", out)
	}
	return failed, nil
}
