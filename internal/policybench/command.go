package policybench

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// Command returns the benchpolicy command.
func Command() *cobra.Command {
	var seed uint64
	var workers int
	var jsonPath string
	var seriesNames, policyNames, sizeNames []string
	cmd := &cobra.Command{
		Use:          "benchpolicy",
		Short:        "Measures assignment policies with generated load series",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sizes, series, policies := Sizes(), AllSeries(), Policies()
			sizes = slices.DeleteFunc(sizes, func(s Size) bool { return len(sizeNames) > 0 && !slices.Contains(sizeNames, s.Name) })
			series = slices.DeleteFunc(series, func(s Series) bool { return len(seriesNames) > 0 && !slices.Contains(seriesNames, s.Name) })
			policies = slices.DeleteFunc(policies, func(p func() Policy) bool {
				return len(policyNames) > 0 && !slices.Contains(policyNames, p().Name())
			})
			if len(sizes) == 0 || len(series) == 0 || len(policies) == 0 {
				return trace.BadParameter("no size, series or policy has the given name")
			}
			results, err := RunAll(cmd.Context(), sizes, series, policies, seed, workers)
			if err != nil {
				return err
			}
			doc := Document{Seed: seed, Results: results}
			for _, p := range policies {
				cost, err := MeasureCost(sizes[len(sizes)-1], p(), seed)
				if err != nil {
					return err
				}
				doc.Costs = append(doc.Costs, cost)
			}
			if jsonPath != "" {
				data, err := json.MarshalIndent(doc, "", "  ")
				if err != nil {
					return err
				}
				if err := os.WriteFile(jsonPath, append(data, '\n'), 0o644); err != nil {
					return err
				}
			}
			return doc.WriteMarkdown(cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "seed of the generated load")
	flags.IntVar(&workers, "workers", 6, "simulations to run in parallel")
	flags.StringVar(&jsonPath, "json", "", "file for the results as JSON")
	flags.StringSliceVar(&sizeNames, "size", nil, "sizes to run (default all)")
	flags.StringSliceVar(&seriesNames, "series", nil, "series to run (default all)")
	flags.StringSliceVar(&policyNames, "policy", nil, "policies to run (default all)")
	return cmd
}
