package policybench

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// RunAll simulates each policy with each series at each size, with up to workers
// simulations in parallel. Results are in the order of sizes, series and policies.
func RunAll(ctx context.Context, sizes []Size, series []Series, policies []func() Policy, seed uint64, workers int) ([]Result, error) {
	results := make([]Result, len(sizes)*len(series)*len(policies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	for i := range results {
		// Start with the largest cluster: it takes longest.
		i := len(results) - 1 - i
		size := sizes[i/len(policies)/len(series)]
		one := series[i/len(policies)%len(series)]
		policy := policies[i%len(policies)]
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			result, err := Run(size, one, policy(), seed)
			results[i] = result
			return err
		})
	}
	return results, group.Wait()
}
