package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore/memory"
)

const (
	service = "booking"
	// settleLimit bounds waits for a condition. It is no target: a loaded machine is slow.
	settleLimit = 40 * time.Second
	pollPause   = 50 * time.Millisecond
	callLimit   = 2 * time.Second
)

// node is one instance: a daemon and its backend server.
type node struct {
	t           *testing.T
	cluster     *testCluster
	name        string
	zone        string
	listen      string
	peerListen  string
	peerRelay   *relay
	storeRelay  *relay
	daemon      *process
	backend     *process
	backendURL  string
	checkGrants bool
	router      basilwayv1connect.RouterServiceClient
	admin       basilwayv1connect.AdminServiceClient
	catalogue   basilwayv1connect.CatalogueServiceClient
}

// testCluster is a platform stand-in with some instances.
type testCluster struct {
	t        *testing.T
	dir      string
	network  *network
	platform string
	store    *connectplatform.Client
	client   *http.Client
	nodesMu  sync.Mutex // guards changes of nodes
	nodes    []*node
}

// newCluster starts instances and waits until each of them owns units.
func newCluster(t *testing.T, instances int, checkGrants bool) *testCluster {
	t.Helper()
	c := &testCluster{t: t, dir: t.TempDir(), network: newNetwork(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(func() {
		c.client.CloseIdleConnections()
		if keep := os.Getenv("BASILWAY_PROVE_LOGS"); keep != "" && t.Failed() {
			_ = os.CopyFS(filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "_")+time.Now().Format("-150405")), os.DirFS(c.dir))
		}
	})
	platform := start(t, filepath.Join(c.dir, "platform.log"), true, "standin", "platform", "--listen", "127.0.0.1:0", "--seed", "1")
	c.platform = platform.listening(t)
	c.store = connectplatform.NewClient(connectplatform.Config{URL: "http://" + c.platform})
	t.Cleanup(c.store.Close)
	for range instances {
		c.add(checkGrants)
	}
	c.wait("a catalogue entry is accepted", func() bool {
		_, err := c.nodes[0].apply("critical", 0, 0)
		return err == nil || connect.CodeOf(err) == connect.CodeAborted
	})
	c.waitAllOwn()
	if instances > lease.MaxWitnesses {
		c.waitSteady()
	}
	return c
}

// waitSteady waits until all witness sets fit the size of the cluster. A cluster in
// which the store is no witness writes nothing then.
func (c *testCluster) waitSteady() {
	c.t.Helper()
	var writes uint64
	var since time.Time
	c.wait("no writes of the store", func() bool {
		counts, err := c.store.Counts(context.Background())
		if err != nil || counts.Writes != writes {
			writes, since = counts.Writes, time.Now()
		}
		return time.Since(since) > 2*time.Second
	})
}

// add starts one more instance.
func (c *testCluster) add(checkGrants bool) *node {
	c.t.Helper()
	i := len(c.nodes) + 1
	n := &node{
		t: c.t, cluster: c, name: fmt.Sprintf("instance-%d", i), zone: fmt.Sprintf("demo/zone-%d", i%3),
		listen: freeAddress(c.t), peerListen: freeAddress(c.t), checkGrants: checkGrants,
	}
	var err error
	if n.peerRelay, err = newRelay(c.network, n.peerListen, "", n.name); err != nil {
		c.t.Fatal(err)
	}
	if n.storeRelay, err = newRelay(c.network, c.platform, n.name, platformName); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(n.peerRelay.close)
	c.t.Cleanup(n.storeRelay.close)
	c.network.mu.Lock()
	c.network.names[n.peerRelay.address()] = n.name
	c.network.mu.Unlock()
	url := "http://" + n.listen
	n.router = basilwayv1connect.NewRouterServiceClient(c.client, url)
	n.admin = basilwayv1connect.NewAdminServiceClient(c.client, url)
	n.catalogue = basilwayv1connect.NewCatalogueServiceClient(c.client, url)
	n.startDaemon()
	n.startBackend()
	// Callers and samplers run already; they must not see an instance without processes.
	c.nodesMu.Lock()
	defer c.nodesMu.Unlock()
	c.nodes = append(c.nodes, n)
	return n
}

// allNodes returns the instances, for goroutines beside the scenario.
func (c *testCluster) allNodes() []*node {
	c.nodesMu.Lock()
	defer c.nodesMu.Unlock()
	return slices.Clone(c.nodes)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (n *node) startDaemon() {
	args := []string{"--instance", n.name, "--zone", n.zone, "--listen", n.listen, "--peer-listen", n.peerListen,
		"--advertise", n.peerRelay.address(), "--platform-url", "http://" + n.storeRelay.address()}
	for _, other := range n.cluster.nodes {
		if other != n {
			args = append(args, "--seeds", other.peerRelay.address())
			break
		}
	}
	n.daemon = start(n.t, filepath.Join(n.cluster.dir, n.name+".log"), false, "basilwayd", args...)
}

func (n *node) startBackend() {
	args := []string{"backend", "--listen", "127.0.0.1:0", "--service", service, "--announce", "http://" + n.listen,
		"--service-time", "2ms", "--log-file", n.executionFile()}
	if n.checkGrants {
		args = append(args, "--checks-grants")
	}
	n.backend = start(n.t, filepath.Join(n.cluster.dir, n.name+"-backend.log"), true, "standin", args...)
	n.backendURL = "http://" + n.backend.listening(n.t)
}

func (n *node) executionFile() string {
	return filepath.Join(n.cluster.dir, n.name+".executions")
}

// executions returns what the backend servers of this instance began to run.
func (n *node) executions() []execution {
	data, err := os.ReadFile(n.executionFile())
	if err != nil {
		n.t.Fatal(err)
	}
	var out []execution
	for line := range strings.Lines(string(data)) {
		var e backendsim.Execution
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			n.t.Fatalf("%s: %q: %v", n.executionFile(), line, err)
		}
		out = append(out, execution{Execution: e, server: n.name})
	}
	return out
}

// control sets the faults of the backend server.
func (n *node) control(f backendsim.Faults) {
	body, err := json.Marshal(f)
	if err != nil {
		n.t.Fatal(err)
	}
	res, err := n.cluster.client.Post(n.backendURL+"/control", "application/json", strings.NewReader(string(body)))
	if err != nil {
		n.t.Logf("control %s: %v", n.name, err)
		return
	}
	_ = res.Body.Close()
}

func (n *node) pause()  { n.daemon.signal(syscall.SIGSTOP) }
func (n *node) resume() { n.daemon.signal(syscall.SIGCONT) }

func (c *testCluster) setStore(f memory.Faults) {
	c.wait("the stand-in takes its faults", func() bool { return c.store.SetFaults(context.Background(), f) == nil })
}

// storeWays returns both directions between an instance and the store.
func (n *node) storeWays() []direction {
	return []direction{{n.name, platformName}, {platformName, n.name}}
}

// peerWays returns the directions from this instance to all others and, if both, back.
func (n *node) peerWays(both bool) []direction {
	var ways []direction
	for _, other := range n.cluster.nodes {
		if other == n {
			continue
		}
		ways = append(ways, direction{n.name, other.name})
		if both {
			ways = append(ways, direction{other.name, n.name})
		}
	}
	return ways
}

func (n *node) status() (*basilwayv1.GetStatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	res, err := n.admin.GetStatus(ctx, connect.NewRequest(&basilwayv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (n *node) owners() (*basilwayv1.GetOwnersResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	res, err := n.admin.GetOwners(ctx, connect.NewRequest(&basilwayv1.GetOwnersRequest{Service: service}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (n *node) ownerOf(key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	res, err := n.admin.GetOwners(ctx, connect.NewRequest(&basilwayv1.GetOwnersRequest{Service: service, Key: key}))
	if err != nil || len(res.Msg.Ranges) != 1 {
		return ""
	}
	return res.Msg.Ranges[0].Instance
}

// apply edits the catalogue entry of the service. The burst makes the edit recognisable.
func (n *node) apply(class string, burst uint32, expected uint64) (*basilwayv1.CatalogueEntry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*callLimit)
	defer cancel()
	res, err := n.catalogue.ApplyEntry(ctx, connect.NewRequest(&basilwayv1.ApplyEntryRequest{
		Entry: &basilwayv1.CatalogueEntry{Service: service, Owner: "hinokuni", Class: class,
			Limits: &basilwayv1.Limits{Burst: burst}},
		ExpectedVersion: expected,
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg.Entry, nil
}

func (c *testCluster) wait(what string, done func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(settleLimit); !done(); time.Sleep(pollPause) {
		if time.Now().After(limit) {
			for _, n := range c.nodes {
				if reply, err := n.owners(); err == nil {
					c.t.Logf("%s knows version %d: %v", n.name, reply.ClusterVersion, reply.Ranges)
				}
				if s, err := n.status(); err == nil {
					c.t.Logf("%s: %v", n.name, s)
				}
			}
			c.t.Fatalf("not within %s: %s", settleLimit, what)
		}
	}
}

// waitAllOwn waits until all running instances are members and own units, nothing moves,
// and all of them know the same assignment.
func (c *testCluster) waitAllOwn() {
	c.t.Helper()
	c.wait("all instances own units and nothing moves", func() bool {
		owners := map[string]bool{}
		versions := map[uint64]bool{}
		live := 0
		for _, n := range c.nodes {
			if !n.daemon.alive() {
				continue
			}
			live++
			reply, err := n.owners()
			if err != nil {
				return false
			}
			versions[reply.ClusterVersion] = true
			for _, r := range reply.Ranges {
				if r.MovingTo != "" || r.Instance == "" {
					return false
				}
				owners[r.Instance] = true
			}
			status, err := n.status()
			if err != nil || !slices.ContainsFunc(status.Members, func(m *basilwayv1.MemberStatus) bool {
				return m.Incarnation == status.Incarnation
			}) {
				return false
			}
		}
		return len(owners) == live && len(versions) == 1
	})
}
