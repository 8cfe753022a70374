package stopperiod

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that are taken although the process ends before them (LOST).
func TestOnlyRequestsThatEndWithinThePeriodAreTaken(t *testing.T) {
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	p := Period{Started: start, End: at(5)}
	for name, c := range map[string]struct {
		now, deadline float64
		work          time.Duration
		repeatable    bool
		takes         bool
	}{
		"deadline within the period":            {4.5, 5, time.Second, false, true},
		"deadline behind it":                    {0, 5.1, 10 * time.Millisecond, false, false},
		"repeatable and short":                  {1, 7, 500 * time.Millisecond, true, true},
		"repeatable and of unknown work":        {1, 7, 0, true, true},
		"repeatable and too long":               {1, 7, 1500 * time.Millisecond, true, false},
		"repeatable and short, in the 2nd half": {2.6, 7, 10 * time.Millisecond, true, false},
	} {
		NewWithT(t).Expect(p.Takes(Request{at(c.deadline), c.work, c.repeatable}, at(c.now))).To(Equal(c.takes), name)
	}
}
