package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/basilway/basilway/metastore"
)

// Ports of a machine, as in the settings of a small deployment. Each machine has its own loopback address.
const (
	readyPort    = 8141
	storePort    = 8142
	controlPort  = 8144
	appPort      = 8145
	outboundPort = 8147
)

const (
	// beatInterval is the time between two heartbeats, as in the settings of a small deployment.
	beatInterval = 870 * time.Millisecond
	// beatSpread is the share of the interval by which the times between heartbeats differ from it at most.
	beatSpread = 0.2
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
	// drain is drain_ms of the settings.
	drain = 2 * time.Second
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
)

// settingsFormat are the settings of a process, in the platform's format.
const settingsFormat = `node_name=%[1]s
role=router
machine_class=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=kyushu
zones.fukuoka-hall=kyushu
zones.kumamoto-hall=kyushu
zones.kagoshima-hall=kyushu
listen_addrs.inbound=%[2]s:8146
listen_addrs.outbound=%[2]s:8147
listen_addrs.ready=%[2]s:8141
listen_addrs.control=%[2]s:8144
internal_port_range=7380,7395
seed_nodes=
bootstrap=%[4]t
counts_as_failure=false
limits.cpu_share=0.32
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=local
entry_mode=local
heartbeat_interval_ms=870
contracts=base,drain,config,cost,retry,recover,own,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds=seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,downgrade_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,budget_extra_retries=60,recovery_s=15,max_hold_ms=10000,thaw_slack_ms=300
grants=heartbeat
app_addr=%[2]s:8145
service=%[5]s
provider.address=%[6]s
provider.form=table
provider.writes_per_s=400
provider.reads_per_s=2000
provider.tx_timeout_ms=3.0
provider.partition_writes_s=300
provider.max_row_bytes=65536
provider.cross_shard=true
provider.history_s=20
provider.blob_bytes=8388608
provider.blob_ms=25.0
provider.blob_mb_s=80.0
`

// configRow is the row of the desired state.
const configRow = "op/config"

// world has the machines, the store and the clients of a case.
type world struct {
	*record
	trouble  bool
	dir      string
	network  string
	store    *store
	machines []*machine
	judge    *judge
}

func newWorld(r *record, trouble bool) (*world, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: trouble, dir: dir, network: network, store: newStore(r), judge: newJudge(r)}
	w.linef("trouble: %t", trouble)
	return w, nil
}

// freeNetwork returns the first three parts of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", network+".1:"+fmt.Sprint(outboundPort))
		if err == nil {
			l.Close()
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (w *world) close() {
	for _, m := range w.machines {
		m.endNode()
	}
	for _, m := range w.machines {
		if m.endpoint != nil {
			m.endpoint.crash()
		}
	}
	w.store.close()
	os.RemoveAll(w.dir)
}

// putConfig writes a desired state as the operator does.
func (w *world) putConfig(state map[string]any) error {
	value, err := json.Marshal(state)
	if err != nil {
		return err
	}
	_, err = w.store.inner.Apply(context.Background(), metastore.Txn{Writes: []metastore.Write{{Key: configRow, Value: value}}})
	w.linef("the operator writes desired state %v: %v", state["version"], err)
	return err
}

// routeOf, serviceOf and limitsOf return resources of a desired state.
func routeOf(name, prefix, kind, service string, timeoutMS, targetMS, attempts int) map[string]any {
	return map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"hostname": "ficu95.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
		"priority": 1, "service": service, "max_attempts": attempts}}
}

func serviceOf(name string, sharded bool) map[string]any {
	spec := map[string]any{"health_check_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false}
	if sharded {
		spec["sharded"], spec["warmup_s"], spec["grants"] = true, 5.0, "heartbeat"
	}
	return map[string]any{"resource_type": "services", "metadata": map[string]any{"name": name}, "spec": spec}
}

func limitsOf() map[string]any {
	return map[string]any{"resource_type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// machine is a machine with a node and an endpoint.
type machine struct {
	w              *world
	name, ip, zone string
	service        string
	front          *front
	endpoint       *endpoint
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

var zones = []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}

// addMachine starts a machine with a node and an endpoint of a service.
func (w *world) addMachine(service string, sharded bool) (*machine, error) {
	i := len(w.machines)
	m := &machine{
		w: w, name: fmt.Sprintf("sidecar-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: fmt.Sprintf("%s.%d", w.network, i+1),
		zone: zones[i%len(zones)], service: service,
	}
	m.settings = filepath.Join(w.dir, m.name+".conf")
	var err error
	if m.front, err = w.store.listen(m.name, fmt.Sprintf("%s.%d:%d", w.network, 100+i, storePort)); err != nil {
		return nil, err
	}
	if m.log, err = os.Create(filepath.Join(w.dir, m.name+".log")); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	m.endpoint = newEndpoint(m, sharded)
	if err := m.endpoint.start(); err != nil {
		return nil, err
	}
	return m, m.startNode(true)
}

// startNode starts the node as the deploy file says. first is set if the whole system starts for the first time.
func (m *machine) startNode(first bool) error {
	text := fmt.Sprintf(settingsFormat, m.name, m.ip, m.zone, first, m.service, m.front.address)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command("target/basilwayd", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILWAY_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.process, m.exited = cmd, exited
	m.w.linef("node of %s started", m.name)
	return nil
}

// kill ends the node at once.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(syscall.SIGKILL)
	<-m.exited
	m.w.linef("node of %s killed", m.name)
}

func (m *machine) endNode() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGKILL)
	<-m.exited
	m.log.Close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		if data, err := os.ReadFile(m.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
		}
	}
}

// ready reports whether the node answers the platform's question with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await polls until a condition holds.
func await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	for _, m := range w.machines {
		if err := await(10*time.Second, m.name+" is ready", m.ready); err != nil {
			return err
		}
	}
	return nil
}

// planner returns the machine whose node has the planner role in the store, or nil.
func (w *world) planner() *machine {
	listing, err := w.store.inner.List(context.Background(), "cluster")
	if err != nil {
		return nil
	}
	for _, row := range listing.Rows {
		for _, m := range w.machines {
			if row.Key == "cluster/planner" && strings.Contains(string(row.Value), m.name) {
				return m
			}
		}
	}
	return nil
}
