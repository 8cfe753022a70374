package main

import (
	stdcontext "context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func context() stdcontext.Context { return stdcontext.Background() }

// Ports of a machine.
const (
	readyPort    = 8141
	storePort    = 8142
	controlPort  = 8144
	appPort      = 8145
	inboundPort  = 8146
	outboundPort = 8147
)

// settingsFormat has the settings of a small deployment (hinokuni-sched).
const settingsFormat = `node_name=sidecar-%[1]s
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

var zones = []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}

// machine is a machine with the node that runs on it.
type machine struct {
	name, ip, zone, service, store, program, settings string
	record                                            *record
	log                                               *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	ending    bool // the process was sent a signal that ends it
	startedAt time.Time
	crashes   int // ends by itself
}

func newMachine(l *lab, i int, service, store string) (*machine, error) {
	m := &machine{
		name: fmt.Sprintf("m%d", i), ip: l.ip(i), zone: zones[i%len(zones)], service: service, store: store, program: l.program, record: l.record,
		settings: filepath.Join(l.dir, fmt.Sprintf("m%d.conf", i)),
	}
	var err error
	m.log, err = os.Create(filepath.Join(l.dir, m.name+".log"))
	return m, err
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the node. bootstrap is set for the first start of the whole system.
func (m *machine) start(bootstrap bool) error {
	text := fmt.Sprintf(settingsFormat, m.name, m.ip, m.zone, bootstrap, m.service, m.store)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(m.program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILWAY_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the case in any event
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := make(chan struct{})
	m.process, m.ended, m.ending, m.startedAt = cmd, ended, false, time.Now()
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		if !m.ending {
			m.crashes++
			m.record.note("the node of %s ended by itself: %v", m.name, err)
		}
		m.mu.Unlock()
		close(ended)
	}()
	m.record.write("node of %s started", m.name)
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.ending = true
	}
	_ = m.process.Process.Signal(s) // fails only on a process that has ended
	m.record.write("signal %v to the node of %s", s, m.name)
}

// kill ends the node at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.address(readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lab is the surroundings of a case.
type lab struct {
	record   *record
	network  string // the first three numbers of the loopback addresses
	dir      string // temporary
	program  string
	machines []*machine
}

func (l *lab) ip(i int) string { return fmt.Sprintf("%s.%d", l.network, i+1) }

// newLab finds free loopback addresses and a temporary folder.
func newLab(r *record, root string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(root, "target", "basilwayd"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	l := &lab{record: r, dir: dir, program: program}
	for i := 0; ; i++ {
		l.network = fmt.Sprintf("127.%d.%d", 70+(os.Getpid()+i)%100, 1+(os.Getpid()/100+i)%200)
		probe, err := net.Listen("tcp", l.ip(0)+fmt.Sprintf(":%d", outboundPort))
		if err == nil {
			probe.Close()
			return l, nil
		}
		if i == 50 {
			return nil, err
		}
	}
}

// addMachine adds a machine whose node isn't started yet.
func (l *lab) addMachine(service, store string) (*machine, error) {
	m, err := newMachine(l, len(l.machines), service, store)
	if err == nil {
		l.machines = append(l.machines, m)
	}
	return m, err
}

// end ends all processes and removes the temporary folder.
func (l *lab) end() {
	for _, m := range l.machines {
		m.mu.Lock()
		started := m.process != nil
		m.mu.Unlock()
		if started {
			m.signal(syscall.SIGCONT)
			m.kill()
		}
		m.log.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs are in", l.dir)
		return
	}
	if err := os.RemoveAll(l.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range l.machines {
			all = all && m.ready()
		}
		if all {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not all nodes are ready after %v", limit)
		}
	}
}

// startAll starts machines with their endpoints, one for each service of the list, and waits until all are ready.
func (l *lab) startAll(s *store, services []string, work time.Duration) ([]*endpoint, error) {
	var endpoints []*endpoint
	for _, name := range services {
		m, err := l.addMachine(name, s.address)
		if err != nil {
			return nil, err
		}
		if err := m.start(true); err != nil {
			return nil, err
		}
		e, err := startEndpoint(m, work)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	return endpoints, l.awaitReady(readyTime)
}

// readyTime is how long the nodes may take until they are ready. Traffic starts 8 s after the machines do.
const readyTime = 8 * time.Second
