package prove

import (
	"context"
	"encoding/json"
	"fmt"
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
	"github.com/basilway/basilway/internal/testport"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore/memory"
)

const (
	service = "booking"
	// settleTimeout bounds the wait for a condition. It is not a target of the design, but
	// long enough for a loaded machine.
	settleTimeout = 40 * time.Second
	pollInterval  = 50 * time.Millisecond
	callTimeout   = 2 * time.Second
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

// testCluster is a platform stand-in and the instances that use it.
type testCluster struct {
	t        *testing.T
	dir      string
	network  *network
	platform string
	store    *connectplatform.Client
	client   *http.Client
	nodesMu  sync.Mutex // guards nodes while callers and samplers run
	nodes    []*node
}

// newCluster starts instances and waits until each of them owns units.
func newCluster(t *testing.T, instances int, checkGrants bool) *testCluster {
	t.Helper()
	c := &testCluster{t: t, dir: t.TempDir(), network: newNetwork(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(func() {
		c.client.CloseIdleConnections()
		if logDir := os.Getenv("BASILWAY_PROVE_LOGS"); logDir != "" && t.Failed() {
			_ = os.CopyFS(filepath.Join(logDir, strings.ReplaceAll(t.Name(), "/", "_")+time.Now().Format("-150405")), os.DirFS(c.dir))
		}
	})
	platform := start(t, filepath.Join(c.dir, "platform.log"), true, "standin", "platform", "--listen", "127.0.0.1:0", "--seed", "1")
	c.platform = platform.listenAddress(t)
	c.store = connectplatform.NewClient(connectplatform.Config{URL: "http://" + c.platform})
	t.Cleanup(c.store.Close)
	for range instances {
		c.addNode(checkGrants)
	}
	c.waitUntil("a catalogue entry is accepted", func() bool {
		_, err := c.nodes[0].applyEntry("critical", 0, 0)
		return err == nil || connect.CodeOf(err) == connect.CodeAborted
	})
	c.waitAssigned()
	if instances > lease.MaxWitnesses {
		c.waitWitnessesSettled()
	}
	return c
}

// waitWitnessesSettled waits until all witness sets match the size of the cluster. It detects
// this by the writes of the store: a cluster in which the store is not a witness writes
// nothing once the sets are settled.
func (c *testCluster) waitWitnessesSettled() {
	c.t.Helper()
	var writes uint64
	var since time.Time
	c.waitUntil("the store receives no writes", func() bool {
		counts, err := c.store.Counts(context.Background())
		if err != nil || counts.Writes != writes {
			writes, since = counts.Writes, time.Now()
		}
		return time.Since(since) > 2*time.Second
	})
}

// addNode starts another instance.
func (c *testCluster) addNode(checkGrants bool) *node {
	c.t.Helper()
	i := len(c.nodes) + 1
	n := &node{
		t: c.t, cluster: c, name: fmt.Sprintf("instance-%d", i), zone: fmt.Sprintf("demo/zone-%d", i%3),
		listen: testport.Reserve(c.t), peerListen: testport.Reserve(c.t), checkGrants: checkGrants,
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
	// Add the instance last: callers and samplers may run already and must not see an
	// instance without processes.
	c.nodesMu.Lock()
	defer c.nodesMu.Unlock()
	c.nodes = append(c.nodes, n)
	return n
}

// allNodes returns a copy of the list of instances. Goroutines that run concurrently with the
// scenario must use it, because the scenario may add instances.
func (c *testCluster) allNodes() []*node {
	c.nodesMu.Lock()
	defer c.nodesMu.Unlock()
	return slices.Clone(c.nodes)
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

// logEndSize is how much of a log logEnd returns, in bytes.
const logEndSize = 2 << 10

// logEnd returns the last lines of the daemon's log.
func (n *node) logEnd() string {
	data, err := os.ReadFile(filepath.Join(n.cluster.dir, n.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logEndSize):])
}

func (n *node) startBackend() {
	args := []string{"backend", "--listen", "127.0.0.1:0", "--service", service, "--announce", "http://" + n.listen,
		"--service-time", "2ms", "--log-file", n.executionLog()}
	if n.checkGrants {
		args = append(args, "--checks-grants")
	}
	n.backend = start(n.t, filepath.Join(n.cluster.dir, n.name+"-backend.log"), true, "standin", args...)
	n.backendURL = "http://" + n.backend.listenAddress(n.t)
}

func (n *node) executionLog() string {
	return filepath.Join(n.cluster.dir, n.name+".executions")
}

// executions returns the requests that the backend servers of this instance started to run.
func (n *node) executions() []execution {
	data, err := os.ReadFile(n.executionLog())
	if err != nil {
		n.t.Fatal(err)
	}
	var out []execution
	for line := range strings.Lines(string(data)) {
		var e backendsim.Execution
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			n.t.Fatalf("%s: %q: %v", n.executionLog(), line, err)
		}
		out = append(out, execution{Execution: e, server: n.name})
	}
	return out
}

// setFaults sets the faults of the backend server.
func (n *node) setFaults(f backendsim.Faults) {
	body, err := json.Marshal(f)
	if err != nil {
		n.t.Fatal(err)
	}
	res, err := n.cluster.client.Post(n.backendURL+"/control", "application/json", strings.NewReader(string(body)))
	if err != nil {
		n.t.Logf("set faults of %s: %v", n.name, err)
		return
	}
	_ = res.Body.Close()
}

func (n *node) pause()  { n.daemon.signal(syscall.SIGSTOP) }
func (n *node) resume() { n.daemon.signal(syscall.SIGCONT) }

func (c *testCluster) setStoreFaults(f memory.Faults) {
	c.waitUntil("the platform stand-in accepts its faults", func() bool { return c.store.SetFaults(context.Background(), f) == nil })
}

// storeDirections returns both directions between an instance and the store.
func (n *node) storeDirections() []direction {
	return []direction{{n.name, platformName}, {platformName, n.name}}
}

// peerDirections returns the directions from this instance to all others and, if both is
// set, the opposite ones as well.
func (n *node) peerDirections(both bool) []direction {
	var directions []direction
	for _, other := range n.cluster.nodes {
		if other == n {
			continue
		}
		directions = append(directions, direction{n.name, other.name})
		if both {
			directions = append(directions, direction{other.name, n.name})
		}
	}
	return directions
}

func (n *node) status() (*basilwayv1.GetStatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	res, err := n.admin.GetStatus(ctx, connect.NewRequest(&basilwayv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (n *node) owners() (*basilwayv1.GetOwnersResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	res, err := n.admin.GetOwners(ctx, connect.NewRequest(&basilwayv1.GetOwnersRequest{Service: service}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (n *node) ownerOf(key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	res, err := n.admin.GetOwners(ctx, connect.NewRequest(&basilwayv1.GetOwnersRequest{Service: service, Key: key}))
	if err != nil || len(res.Msg.Ranges) != 1 {
		return ""
	}
	return res.Msg.Ranges[0].Instance
}

// applyEntry edits the catalogue entry of the service. The limit burst serves as the token
// that identifies the edit in the history.
func (n *node) applyEntry(class string, burst uint32, expected uint64) (*basilwayv1.CatalogueEntry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*callTimeout)
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

// waitUntil polls done and fails the test if it does not return true within settleTimeout.
func (c *testCluster) waitUntil(condition string, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(settleTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			for _, n := range c.nodes {
				if !n.daemon.alive() {
					c.t.Logf("the daemon of %s has ended with code %d; the end of its log:\n%s", n.name, n.daemon.code, n.logEnd())
					continue
				}
				if resp, err := n.owners(); err == nil {
					c.t.Logf("%s knows version %d: %v", n.name, resp.ClusterVersion, resp.Ranges)
				}
				if s, err := n.status(); err == nil {
					c.t.Logf("%s: %v", n.name, s)
				}
			}
			c.t.Fatalf("not within %s: %s", settleTimeout, condition)
		}
	}
}

// waitAssigned waits until all running instances are members and own units, no move is in
// progress, and all of them know the same assignment.
func (c *testCluster) waitAssigned() {
	c.t.Helper()
	c.waitUntil("all instances own units and no move is in progress", func() bool {
		owners := map[string]bool{}
		versions := map[uint64]bool{}
		running := 0
		for _, n := range c.nodes {
			if !n.daemon.alive() {
				continue
			}
			running++
			resp, err := n.owners()
			if err != nil {
				return false
			}
			versions[resp.ClusterVersion] = true
			for _, r := range resp.Ranges {
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
		return len(owners) == running && len(versions) == 1
	})
}
