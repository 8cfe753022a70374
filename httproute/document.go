package httproute

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Document is the form in which operators write routes, services and limits in the
// catalogue. Times are in milliseconds.
type Document struct {
	// Version is that of the catalogue; operators leave it out.
	Version  uint64            `json:"version,omitempty"`
	Services []ServiceDocument `json:"services"`
	Routes   []RouteDocument   `json:"routes"`
	Limits   LimitsDocument    `json:"limits"`
}

// ServiceDocument is a Service.
type ServiceDocument struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"`
	Sharded        bool   `json:"sharded,omitempty"`
	WarmUpMS       int64  `json:"warm_up_ms,omitempty"`
}

// RouteDocument is a Route.
type RouteDocument struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Kind is idempotent, non_idempotent or download.
	Kind            string         `json:"kind"`
	TimeoutMS       int64          `json:"timeout_ms"`
	TargetLatencyMS int64          `json:"target_ms,omitempty"`
	Priority        int            `json:"priority,omitempty"`
	MaxAttempts     int            `json:"max_attempts,omitempty"`
	Parts           []PartDocument `json:"parts"`
}

// PartDocument is a Part.
type PartDocument struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// LimitsDocument is the Limits that can be set.
type LimitsDocument struct {
	HeaderBytes int   `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
}

// ParseDocument reads a document and rejects fields that it does not know. It does not
// check what the document says; Table does.
func ParseDocument(data []byte) (Document, error) {
	var d Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("routes: %w", err)
	}
	return d, nil
}

// Encode returns the form that ParseDocument reads.
func (d Document) Encode() ([]byte, error) { return json.MarshalIndent(d, "", "  ") }

// Snapshot returns what the document says. The error names every fault.
func (d Document) Snapshot() (Snapshot, error) {
	s := Snapshot{Version: d.Version, Limits: Limits{HeaderBytes: d.Limits.HeaderBytes, BodyBytes: d.Limits.BodyBytes}}
	var faults []string
	names := map[string]bool{}
	unique := func(kind, name string) {
		if name == "" {
			faults = append(faults, "a "+kind+" has no name")
		}
		if name != "" && names[kind+name] {
			faults = append(faults, fmt.Sprintf("%s %q is there twice", kind, name))
		}
		names[kind+name] = true
	}
	for _, service := range d.Services {
		unique("service", service.Name)
		s.Services = append(s.Services, Service{
			Name: service.Name, HealthPath: service.HealthPath, MaxConnections: service.MaxConnections,
			Sharded: service.Sharded, WarmUp: time.Duration(service.WarmUpMS) * time.Millisecond,
		})
	}
	for _, r := range d.Routes {
		unique("route", r.Name)
		kind, err := ParseKind(r.Kind)
		if err != nil {
			faults = append(faults, fmt.Sprintf("route %q: %v", r.Name, err))
		}
		route := Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kind, Priority: r.Priority, MaxAttempts: r.MaxAttempts,
			Timeout: time.Duration(r.TimeoutMS) * time.Millisecond, TargetLatency: time.Duration(r.TargetLatencyMS) * time.Millisecond,
		}
		for _, part := range r.Parts {
			route.Parts = append(route.Parts, Part(part))
		}
		s.Routes = append(s.Routes, route)
	}
	if _, err := NewTable(s); err != nil {
		faults = append(faults, err.Error())
	}
	if len(faults) > 0 {
		return Snapshot{}, fmt.Errorf("routes: %s", strings.Join(faults, "; "))
	}
	return s, nil
}
