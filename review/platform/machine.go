package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// settings are those of a small deployment, holmnet-pass.
const settings = `node_name=%[1]s
role=router
machine_class=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=dk-east
zones.kastrup-a=dk-east
zones.kastrup-b=dk-east
zones.ballerup=dk-east
listen_addrs.inbound=%[2]s:8146
listen_addrs.outbound=%[2]s:%[4]d
listen_addrs.ready=%[2]s:%[5]d
listen_addrs.control=%[2]s:%[6]d
internal_port_range=%[7]d,%[8]d
seed_nodes=
bootstrap=%[9]t
counts_as_failure=false
limits.cpu_share=0.32
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=local
entry_mode=local
heartbeat_interval_ms=1500
contracts=base,drain,config,cost,retry,recover,own,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds=seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,downgrade_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,budget_extra_retries=64,recovery_s=15,max_hold_ms=10000,thaw_slack_ms=300
grants=heartbeat
app_addr=%[2]s:%[10]d
service=%[11]s
provider.address=%[12]s
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

var zones = []string{"kastrup-a", "kastrup-b", "ballerup"}

// machine is a machine with a node process and an endpoint.
type machine struct {
	cluster      *cluster
	name, ip     string
	settingsFile string
	log          *os.File
	endpoint     *endpoint
	process      *exec.Cmd
	exited       chan struct{}
	// gone is set once the machine is taken away, and its clients with it.
	gone atomic.Bool
}

// newMachine starts a machine.
func newMachine(c *cluster, i int, service string, sharded bool, slots int, work time.Duration, bootstrap bool) (*machine, error) {
	m := &machine{cluster: c, name: fmt.Sprintf("sidecar-%s-%d", zones[i%len(zones)], i+1), ip: fmt.Sprintf("%s.%d", c.network, i+1)}
	m.settingsFile = filepath.Join(c.dir, m.name+".conf")
	if err := m.writeSettings(zones[i%len(zones)], service, bootstrap); err != nil {
		return nil, err
	}
	var err error
	if m.log, err = os.Create(filepath.Join(c.dir, m.name+".log")); err != nil {
		return nil, err
	}
	if err := m.startNode(); err != nil {
		return nil, err
	}
	m.endpoint = &endpoint{
		address: fmt.Sprintf("%s:%d", m.ip, appPort), control: fmt.Sprintf("%s:%d", m.ip, controlPort), service: service,
		zone: zones[i%len(zones)], sharded: sharded, slots: slots, work: work, record: c.record, holds: c.holds,
	}
	return m, m.endpoint.start()
}

func (m *machine) writeSettings(zone, service string, bootstrap bool) error {
	text := fmt.Sprintf(settings, m.name, m.ip, zone, outboundPort, readyPort, controlPort, firstPort, lastPort, bootstrap, appPort, service, m.cluster.storeAddress())
	return os.WriteFile(m.settingsFile, []byte(text), 0o600)
}

// startNode starts the process with the command of the deploy file.
func (m *machine) startNode() error {
	cmd := exec.Command(m.cluster.binary, "node")
	cmd.Env = []string{"BASILWAY_CONFIG=" + m.settingsFile, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cluster.record.add("node %s starts", m.name)
	m.process, m.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // how it ends is known
		close(exited)
	}(m.exited)
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) error {
	m.cluster.record.add("node %s gets %v", m.name, s)
	return m.process.Process.Signal(s)
}

// restartNode ends the process with a signal and starts it again after a pause.
func (m *machine) restartNode(s syscall.Signal, pause time.Duration) error {
	if err := m.signal(s); err != nil {
		return err
	}
	<-m.exited
	time.Sleep(pause)
	// Only the first start of the whole system has bootstrap set.
	if err := m.writeSettings(m.endpoint.zone, m.endpoint.service, false); err != nil {
		return err
	}
	return m.startNode()
}

// stop ends the node and the endpoint.
func (m *machine) stop() {
	if err := m.process.Process.Signal(syscall.SIGKILL); err == nil {
		<-m.exited
	}
	m.endpoint.stop()
	if err := m.log.Close(); err != nil {
		m.cluster.record.add("log of %s: %v", m.name, err)
	}
}
