package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.uber.org/zap"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/internal/daemon"
	"github.com/basilway/basilway/metastore/memory"
)

const (
	benchService = "booking"
	benchSlots   = 64
	// benchCallers is the number of callers per processor of GOMAXPROCS.
	benchCallers = 4
)

// startDaemon runs a daemon until the benchmark ends.
func startDaemon(b *testing.B, store *memory.Store, name string) *daemon.Daemon {
	b.Helper()
	d, err := daemon.New(daemon.Config{
		Instance: name, Zone: "region/" + name, Listen: "127.0.0.1:0", Table: store, Objects: store.Objects(),
		MaxRequestIDs: 100_000,
	}, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// BenchmarkCall measures a non-idempotent request directly to a backend server, through
// the daemon that owns the key and through one that forwards. Callers, daemons and the
// backend server share the process, so the cost of a daemon is the difference from
// "direct".
func BenchmarkCall(b *testing.B) {
	store := memory.New(memory.Rates{}, 1)
	forwarder := startDaemon(b, store, "forwarder")
	owner := startDaemon(b, store, "owner")
	server, err := backendsim.Start("127.0.0.1:0", backendsim.Config{
		Service: benchService, Slots: benchSlots, AnnounceURL: "http://" + owner.Address(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	b.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	backend := backendv1connect.NewBackendServiceClient(client, server.URL())
	calls := map[string]func(key, id string) error{
		"direct": func(key, id string) error {
			_, err := backend.Execute(context.Background(), connect.NewRequest(&backendv1.ExecuteRequest{
				Service: benchService, Key: key, Method: "echo", RequestId: id, Payload: payload,
			}))
			return err
		},
		"owned":     callThrough(client, owner),
		"forwarded": callThrough(client, forwarder),
	}
	catalogue := basilwayv1connect.NewCatalogueServiceClient(client, "http://"+owner.Address())
	eventually(b, func() error {
		_, err := catalogue.ApplyEntry(context.Background(), connect.NewRequest(&basilwayv1.ApplyEntryRequest{
			Entry: &basilwayv1.CatalogueEntry{Service: benchService, Owner: "hinokuni", Class: "critical"},
		}))
		return err
	})
	for name, call := range calls {
		eventually(b, func() error { return call("clinic-1", uuid.Must(uuid.NewV7()).String()) })
		b.Logf("%s works", name)
	}
	for _, name := range []string{"direct", "owned", "forwarded"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(benchCallers)
			b.RunParallel(func(p *testing.PB) {
				for i := 0; p.Next(); i++ {
					if err := calls[name](fmt.Sprintf("clinic-%d", i%1000), uuid.Must(uuid.NewV7()).String()); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

var payload = []byte(strings.Repeat("x", 64))

func callThrough(client *http.Client, d *daemon.Daemon) func(key, id string) error {
	router := basilwayv1connect.NewRouterServiceClient(client, "http://"+d.Address())
	return func(key, id string) error {
		_, err := router.Call(context.Background(), connect.NewRequest(&basilwayv1.CallRequest{
			Service: benchService, Key: key, Method: "echo", RequestId: id, Payload: payload,
		}))
		return err
	}
}

// eventually repeats f until it succeeds, because the daemons are still starting.
func eventually(b *testing.B, f func() error) {
	b.Helper()
	var err error
	for range 400 {
		if err = f(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal(err)
}
