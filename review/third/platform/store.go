package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/platform/standin"
)

// store is the project's stand-in of the platform's store on an address.
type store struct {
	*standin.Store
	address string
	server  *http.Server
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.NewStore(), address: address}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(l) }() // ends with the case
	return s, nil
}

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeoutMS                   int
}

// service is a service of the desired state.
type service struct {
	name    string
	sharded bool
}

// host is the host of all routes.
const host = "shop.example"

// writeDesired writes the operator's desired state.
func (s *store) writeDesired(version int, routes []route, services []service) error {
	var resources []any
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{
				"hostname": host, "prefix": r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": 250,
				"priority": 1, "service": r.service, "max_attempts": 2,
			},
		})
	}
	for _, v := range services {
		spec := map[string]any{"health_check_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false}
		if v.sharded {
			spec["sharded"], spec["warmup_s"], spec["grants"] = true, 5.0, "heartbeat"
		}
		resources = append(resources, map[string]any{"resource_type": "services", "metadata": map[string]any{"name": v.name}, "spec": spec})
	}
	resources = append(resources, map[string]any{"resource_type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	value, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		return err
	}
	_, err = s.Apply(context(), metastore.Txn{Writes: []metastore.Write{{Key: "op/config", Value: value}}})
	return err
}
