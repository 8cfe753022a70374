package httproute

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Document is the JSON form in which operators write the routes, services and limits of the
// catalogue. Times are in milliseconds.
type Document struct {
	// Version is the version in the catalogue; operators may leave it out.
	Version  uint64            `json:"version,omitempty"`
	Services []ServiceDocument `json:"services"`
	Routes   []RouteDocument   `json:"routes"`
	Limits   LimitsDocument    `json:"limits"`
}

// ServiceDocument is the JSON form of a Service.
type ServiceDocument struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"`
	Sharded        bool   `json:"sharded,omitempty"`
	WarmUpMS       int64  `json:"warm_up_ms,omitempty"`
}

// RouteDocument is the JSON form of a Route.
type RouteDocument struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Kind is idempotent, non_idempotent or download.
	Kind            string                `json:"kind"`
	TimeoutMS       int64                 `json:"timeout_ms"`
	TargetLatencyMS int64                 `json:"target_ms,omitempty"`
	Priority        int                   `json:"priority,omitempty"`
	MaxAttempts     int                   `json:"max_attempts,omitempty"`
	Destinations    []DestinationDocument `json:"parts"`
}

// DestinationDocument is the JSON form of a Destination.
type DestinationDocument struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// LimitsDocument is the JSON form of the Limits that operators can set.
type LimitsDocument struct {
	HeaderBytes int   `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
}

// ParseDocument decodes a document and rejects unknown fields. It does not validate the
// contents; Document.Snapshot does.
func ParseDocument(data []byte) (Document, error) {
	var d Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("routes: %w", err)
	}
	return d, nil
}

// Encode returns the JSON that ParseDocument reads.
func (d Document) Encode() ([]byte, error) { return json.MarshalIndent(d, "", "  ") }

// Snapshot validates the document and returns its contents. The error lists every problem.
func (d Document) Snapshot() (Snapshot, error) {
	s, found := d.Check()
	if problems := errorTexts(found); len(problems) > 0 {
		return Snapshot{}, fmt.Errorf("routes: %s", strings.Join(problems, "; "))
	}
	return s, nil
}

// Check returns the contents of the document and what is wrong with it.
func (d Document) Check() (Snapshot, []Finding) {
	s := Snapshot{Version: d.Version, Limits: Limits{HeaderBytes: d.Limits.HeaderBytes, BodyBytes: d.Limits.BodyBytes}}
	f := &findings{}
	names := map[string]bool{}
	checkName := func(kind, name string) {
		if name == "" {
			f.error("a %s has no name", kind)
		}
		if name != "" && names[kind+name] {
			f.error("duplicate %s %q", kind, name)
		}
		names[kind+name] = true
	}
	for _, service := range d.Services {
		checkName("service", service.Name)
		s.Services = append(s.Services, Service{
			Name: service.Name, HealthPath: service.HealthPath, MaxConnections: service.MaxConnections,
			Sharded: service.Sharded, WarmUp: time.Duration(service.WarmUpMS) * time.Millisecond,
		})
	}
	for _, r := range d.Routes {
		checkName("route", r.Name)
		kind, err := ParseKind(r.Kind)
		if err != nil {
			f.place = routePlace(r.Name)
			f.error("%v", err)
			f.place = ""
		}
		route := Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kind, Priority: r.Priority, MaxAttempts: r.MaxAttempts,
			Timeout: time.Duration(r.TimeoutMS) * time.Millisecond, TargetLatency: time.Duration(r.TargetLatencyMS) * time.Millisecond,
		}
		for _, destination := range r.Destinations {
			route.Destinations = append(route.Destinations, Destination(destination))
		}
		s.Routes = append(s.Routes, route)
	}
	return s, append(f.all, Check(s)...)
}
