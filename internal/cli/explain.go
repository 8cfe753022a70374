package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/basilway/basilway/internal/explain"
)

// newExplainCommand returns the command that tells what happened to a request.
func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell from the logs of several nodes what happened to a request",
		Long: `explain reads the logs of nodes from files, or from standard input without files, and
prints the lines about one request in the order of time, and what is missing.`,
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
			story, err := explain.Collect(args[0], logs...)
			if err != nil {
				return err
			}
			return story.Write(cmd.OutOrStdout())
		},
	}
}
