package policybench

import (
	"fmt"
	"io"
	"time"
)

// Cost is the time and the allocated memory of one plan of a policy at the largest size.
type Cost struct {
	Policy string        `json:"policy"`
	Time   time.Duration `json:"planNanoseconds"`
	Bytes  uint64        `json:"planBytes"`
}

// Document is the output of the benchmark.
type Document struct {
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
	Costs   []Cost   `json:"costs"`
}

// WriteMarkdown writes d as Markdown tables.
func (d Document) WriteMarkdown(w io.Writer) error {
	out := &printer{w: w}
	out.printf("Seed: %d\n", d.Seed)
	size := ""
	for _, r := range d.Results {
		if r.Size != size {
			size = r.Size
			out.printf("\n### %s\n\n", size)
			out.printf("| series | policy | imbalance steady | p99 | s over 1.5 | keys moved %%/h | (forced) | load moved %%/h | unavailable key-s | shed | shed %% | moved per lost | late moves |\n")
			out.printf("| --- | --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n")
		}
		lost := ""
		if r.LossMoved > 0 {
			lost = fmt.Sprintf("%.2f", r.LossMoved)
		}
		out.printf("| %s | %s | %.2f | %.2f | %d | %.1f | %.1f | %.1f | %.3g | %.3g | %.2f | %s | %d |\n",
			r.Series, r.Policy, r.Steady, r.P99, r.Recovery, 100*r.KeyChurn, 100*r.ForcedChurn, 100*r.LoadChurn,
			r.Unavailable, r.Shed, 100*r.ShedShare, lost, r.LateMoves)
	}
	out.printf("\n### Planner cost at %s\n\n| policy | time | memory allocated |\n| --- | --: | --: |\n", size)
	for _, c := range d.Costs {
		out.printf("| %s | %.1f ms | %.1f MB |\n", c.Policy, float64(c.Time)/float64(time.Millisecond), float64(c.Bytes)/1e6)
	}
	return out.err
}

// printer keeps the first write error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
