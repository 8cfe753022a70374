package httproute

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const document = `{
  "services": [{"name": "booking", "sharded": true, "health_path": "/health", "warm_up_ms": 5000}],
  "routes": [{"name": "lookup", "host": "shop.example", "prefix": "/lookup/", "kind": "idempotent",
    "timeout_ms": 2000, "target_ms": 500, "priority": 1, "max_attempts": 2,
    "parts": [{"service": "booking", "weight": 1}]}],
  "limits": {"header_bytes": 8192}
}`

// Guards against fields of the operator's file that are lost in parsing, conversion or
// encoding.
func TestDocumentKeepsAllFields(t *testing.T) {
	g := NewWithT(t)
	d, err := ParseDocument([]byte(document))
	g.Expect(err).NotTo(HaveOccurred())
	s, err := d.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Limits.HeaderBytes).To(Equal(8192))
	g.Expect(s.Services).To(ConsistOf(Service{Name: "booking", HealthPath: "/health", Sharded: true, WarmUp: 5 * time.Second}))
	g.Expect(s.Routes).To(ConsistOf(Route{
		Name: "lookup", Host: "shop.example", Prefix: "/lookup/", Kind: Idempotent, Timeout: 2 * time.Second,
		TargetLatency: 500 * time.Millisecond, Priority: 1, MaxAttempts: 2, Destinations: []Destination{{"booking", 1}},
	}))
	data, err := d.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	again, err := ParseDocument(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(d))
}

// Guards against an error that reports only the first problem, and against a misspelt field
// that is ignored.
func TestDocumentListsAllProblems(t *testing.T) {
	g := NewWithT(t)
	_, err := ParseDocument([]byte(`{"rutes": []}`))
	g.Expect(err).To(MatchError(ContainSubstring("rutes")))
	_, err = Document{
		Services: []ServiceDocument{{Name: "a"}, {Name: "a"}, {}},
		Routes: []RouteDocument{
			{Name: "r", Host: "h", Prefix: "nowhere", Kind: "maybe", TimeoutMS: 1, Destinations: []DestinationDocument{{"a", 1}}},
			{Name: "q", Host: "h", Prefix: "/", Kind: "download", TimeoutMS: 1, Destinations: []DestinationDocument{{"b", 1}}},
		},
	}.Snapshot()
	for _, problem := range []string{`duplicate service "a"`, "a service has no name", `kind "maybe"`, `prefix "nowhere"`, `unknown service "b"`} {
		g.Expect(err).To(MatchError(ContainSubstring(problem)))
	}
}
