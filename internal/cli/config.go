package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/basilway/basilway/internal/configcheck"
)

// errFindings means that a configuration was read and has findings, which were printed.
var errFindings = errors.New("the configuration has findings")

// newConfigCommand returns the command that validates configurations.
func newConfigCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Validate a configuration before it is sent"}
	var against, format string
	check := &cobra.Command{
		Use: "check FILE", Short: "Report what is wrong with a configuration and what it changes",
		Long: `check reads a configuration: a desired state of the users' platform, or a document of routes
as "routes get" prints. FILE is "-" for standard input. It reports errors, for which nodes refuse the
whole configuration, warnings about entries that can't do what they say, and with --against the
differences from another file. It sends nothing. Exit code 0: valid, 1: errors or warnings, 2: not readable.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if format != "text" && format != "json" {
				return &usageError{fmt.Sprintf(`--format is %q, allowed: "text" or "json"`, format)}
			}
			checked, err := readConfiguration(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			var inForce *configcheck.Configuration
			if against != "" {
				other, err := readConfiguration(cmd.InOrStdin(), against)
				if err != nil {
					return err
				}
				inForce = &other
			}
			report := configcheck.Check(checked, inForce)
			if err := writeReport(cmd.OutOrStdout(), report, format == "json" || o.json(), inForce != nil); err != nil {
				return err
			}
			if !report.Valid {
				return errFindings
			}
			return nil
		},
	}
	check.Flags().StringVar(&against, "against", "", "file with the configuration in force, to list the differences from it")
	check.Flags().StringVar(&format, "format", "text", `output format, "text" or "json"`)
	cmd.AddCommand(check)
	return cmd
}

// readConfiguration reads a file, or standard input if it is named "-". Its errors are usage errors.
func readConfiguration(stdin io.Reader, name string) (configcheck.Configuration, error) {
	data, err := os.ReadFile(name)
	if name == "-" {
		data, err = io.ReadAll(stdin)
	}
	if err != nil {
		return configcheck.Configuration{}, &usageError{err.Error()}
	}
	configuration, err := configcheck.Read(data)
	if err != nil {
		return configcheck.Configuration{}, &usageError{fmt.Sprintf("%s: %v", name, err)}
	}
	return configuration, nil
}

func writeReport(w io.Writer, report configcheck.Report, asJSON, compared bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	out := ""
	for _, f := range report.Findings {
		out += fmt.Sprintf("%v: %v\n", f.Severity, f)
	}
	if report.Valid {
		out += "valid\n"
	}
	if compared {
		out += fmt.Sprintf("differences: %d\n", len(report.Differences))
	}
	for _, d := range report.Differences {
		out += fmt.Sprintf("  %v\n", d)
	}
	_, err := io.WriteString(w, out)
	return err
}
