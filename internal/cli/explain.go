package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/basilway/basilway/internal/explain"
)

// newExplainCommand returns the command that prints the log lines about a request.
func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show what the logs of several nodes say about a request",
		Long: `explain reads the logs of nodes from files, or from standard input if no file is named.
It prints the lines about one request in order of time and reports what is missing.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			logs := []io.Reader{cmd.InOrStdin()}
			if len(args) > 1 {
				logs = logs[:0]
			}
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				defer file.Close()
				logs = append(logs, file)
			}
			timeline, err := explain.Collect(args[0], logs...)
			if err != nil {
				return err
			}
			return timeline.Write(cmd.OutOrStdout())
		},
	}
}
