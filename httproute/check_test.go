package httproute

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func goodSnapshot() Snapshot {
	return Snapshot{
		Version: 1, Services: []Service{{Name: "s", HealthPath: "/health"}, {Name: "t"}},
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, TargetLatency: 400 * time.Millisecond, MaxAttempts: 2, Destinations: []Destination{{"s", 1}}},
			{Name: "b", Host: "h", Prefix: "/", Timeout: time.Second, Destinations: []Destination{{"s", 9}, {"t", 0}}},
		},
	}
}

// Guards against an entry that can't work and is not reported, and against a check that calls valid what
// NewTable refuses, or refuses what it accepts.
func TestCheckFindsEachProblem(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Check(goodSnapshot())).To(BeEmpty())
	for reason, c := range map[string]struct {
		severity Severity
		change   func(*Snapshot)
	}{
		"no host":                        {Error, func(s *Snapshot) { s.Routes[0].Host = "" }},
		"start and end with a slash":     {Error, func(s *Snapshot) { s.Routes[0].Prefix = "/a" }},
		"timeout must be positive":       {Error, func(s *Snapshot) { s.Routes[0].Timeout = 0 }},
		"no service":                     {Error, func(s *Snapshot) { s.Routes[0].Destinations = nil }},
		"unknown service":                {Error, func(s *Snapshot) { s.Routes[0].Destinations[0].Service = "x" }},
		"negative weight":                {Error, func(s *Snapshot) { s.Routes[1].Destinations[1].Weight = -1 }},
		"all weights are zero":           {Error, func(s *Snapshot) { s.Routes[0].Destinations[0].Weight = 0 }},
		"the weights add up to":          {Warning, func(s *Snapshot) { s.Routes[0].Destinations[0].Weight = 1 << 40 }},
		"weights add up":                 {Warning, func(s *Snapshot) { s.Routes[1].Destinations[1].Service = "s" }},
		"has a port":                     {Warning, func(s *Snapshot) { s.Routes[0].Host = "h:80" }},
		"no wildcards":                   {Warning, func(s *Snapshot) { s.Routes[0].Host = "*.h" }},
		"a character that no host has":   {Warning, func(s *Snapshot) { s.Routes[0].Host = "h /" }},
		"the decoded path":               {Warning, func(s *Snapshot) { s.Routes[0].Prefix = "/a%20b/" }},
		"comes first":                    {Warning, func(s *Snapshot) { s.Routes[1].Host, s.Routes[1].Prefix = "H", "/a/" }},
		"the same name":                  {Warning, func(s *Snapshot) { s.Routes[1].Name = "a" }},
		"above the timeout":              {Warning, func(s *Snapshot) { s.Routes[0].TargetLatency = 2 * time.Second }},
		"do not fit":                     {Warning, func(s *Snapshot) { s.Routes[0].TargetLatency = 600 * time.Millisecond }},
		"target latency is negative":     {Warning, func(s *Snapshot) { s.Routes[0].TargetLatency = -1 }},
		"attempts is negative":           {Warning, func(s *Snapshot) { s.Routes[0].MaxAttempts = -1 }},
		"0 is the highest":               {Warning, func(s *Snapshot) { s.Routes[0].Priority = -1 }},
		"the last one applies":           {Warning, func(s *Snapshot) { s.Services[1].Name = "s"; s.Routes[1].Destinations[1].Service = "s" }},
		"health check path":              {Warning, func(s *Snapshot) { s.Services[0].HealthPath = "health" }},
		"connections is negative":        {Warning, func(s *Snapshot) { s.Services[0].MaxConnections = -1 }},
		"warm-up time is negative":       {Warning, func(s *Snapshot) { s.Services[0].WarmUp = -1 }},
		"negative number of bytes":       {Warning, func(s *Snapshot) { s.Limits.BodyBytes = -1 }},
		"negative time":                  {Warning, func(s *Snapshot) { s.Limits.IdleTimeout = -1 }},
		"every request is answered with": {Warning, func(s *Snapshot) { s.Routes = nil }},
	} {
		s := goodSnapshot()
		c.change(&s)
		found := Check(s)
		g.Expect(found).To(ContainElement(And(HaveField("Severity", c.severity), HaveField("Reason", ContainSubstring(reason)))), "%v", found)
		_, err := NewTable(s)
		g.Expect(err != nil).To(Equal(c.severity == Error), "%s: %v", reason, err)
		if err != nil {
			g.Expect(err).To(MatchError(ContainSubstring(reason)))
		}
	}
}

// Guards against warnings about routes that do match: a route is only hidden by one with the same host and
// prefix before it.
func TestRoutesReportedAsNeverMatchingDoNotMatch(t *testing.T) {
	g := NewWithT(t)
	s := goodSnapshot()
	s.Routes[1].Host, s.Routes[1].Prefix = "H", "/a/"
	s.Routes = append(s.Routes, Route{Name: "port", Host: "p:80", Prefix: "/", Timeout: 1, Destinations: []Destination{{"s", 1}}})
	table, err := NewTable(s)
	g.Expect(err).NotTo(HaveOccurred())
	r, ok := table.Match("h", "/a/x")
	g.Expect(ok).To(BeTrue())
	g.Expect(r.Name).To(Equal("a"))
	for _, host := range []string{"p", "p:80"} {
		_, ok = table.Match(host, "/")
		g.Expect(ok).To(BeFalse())
	}
}

// Guards against a change that an operator does not see before it is sent.
func TestDifferences(t *testing.T) {
	g := NewWithT(t)
	from, to := goodSnapshot(), goodSnapshot()
	g.Expect(Differences(from, to)).To(BeEmpty())
	to.Services[0].Sharded, to.Services[1].Name = true, "u"
	to.Routes[0].Timeout, to.Routes[0].Destinations = 2*time.Second, []Destination{{"u", 1}}
	to.Routes[1].Destinations, to.Routes[1].Kind = []Destination{{"s", 8}, {"u", 1}}, Idempotent
	to.Routes = append(to.Routes, Route{Name: "c"})
	from.Routes = append(from.Routes, Route{Name: "d"})
	to.Limits.IdleTimeout = time.Second
	var got []string
	for _, d := range Differences(from, to) {
		got = append(got, d.String())
	}
	g.Expect(got).To(Equal([]string{
		`service "s" keys got owners`, `service "u" added`, `service "t" removed`,
		`route "a" timeout changed from 1s to 2s`, `route "a" moved from service "s" to service "u"`,
		`route "b" kind changed from non_idempotent to idempotent`, `route "b" services changed from [s:9 t:0] to [s:8 u:1]`,
		`route "c" added`, `route "d" removed`, `limits idle timeout changed from 0s to 1s`,
	}))
}
