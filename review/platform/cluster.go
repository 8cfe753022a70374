package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/platform/standin"
)

// The ports of a machine; each machine has its own loopback address.
const (
	outboundPort = 8147
	readyPort    = 8141
	controlPort  = 8144
	appPort      = 8145
	storePort    = 8142
	metricsPort  = 9464
	firstPort    = 7380
	lastPort     = 7395
)

// cluster is a small deployment.
type cluster struct {
	record   *record
	binary   string
	dir      string
	network  string // the first three numbers of its addresses
	store    *standin.Store
	server   *http.Server
	down     atomic.Bool // the store resets each connection
	machines []*machine
	holds    *holdLog

	clients sync.WaitGroup
	stopped context.Context
	end     context.CancelFunc
	mu      sync.Mutex
	answers []answer
}

// networks is the number of networks of loopback addresses that are tried.
const networks = 200

func newCluster(binary string, r *record) (*cluster, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	c := &cluster{record: r, binary: path, store: standin.NewStore(), holds: newHoldLog()}
	c.stopped, c.end = context.WithCancel(context.Background())
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for i := range networks {
		c.network = fmt.Sprintf("127.%d.%d", 30+(os.Getpid()+i)%networks, 7)
		l, err := net.Listen("tcp", c.storeAddress())
		if err != nil {
			continue // another run uses this network
		}
		c.server = &http.Server{Handler: http.HandlerFunc(c.serveStore)}
		go func() {
			if err := c.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				r.add("store: %v", err)
			}
		}()
		return c, nil
	}
	return nil, errors.New("no free network of loopback addresses")
}

func (c *cluster) storeAddress() string { return fmt.Sprintf("%s.250:%d", c.network, storePort) }

// configure writes a desired state, as the operator does.
func (c *cluster) configure(desired string) error {
	c.record.add("operator writes a desired state")
	return c.store.Commit(context.Background(), metastore.Txn{Writes: []metastore.Write{{Key: "op/config", Value: []byte(desired)}}})
}

// setStoreDown makes the store reset each connection on which a call arrives, without having done
// anything, or serve again.
func (c *cluster) setStoreDown(down bool) {
	c.record.add("store down (reset): %t", down)
	c.down.Store(down)
}

// serveStore serves the calls to the store.
func (c *cluster) serveStore(w http.ResponseWriter, r *http.Request) {
	if !c.down.Load() {
		c.store.ServeHTTP(w, r)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		c.record.add("store: %v", err)
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil { // closes with a reset
			c.record.add("store: %v", err)
		}
	}
	_ = conn.Close() // the connection has ended in any case
}

// add adds a machine with its endpoint; bootstrap is set if the whole system starts for the first time.
func (c *cluster) add(service string, sharded bool, slots int, work time.Duration, bootstrap bool) (*machine, error) {
	m, err := newMachine(c, len(c.machines), service, sharded, slots, work, bootstrap)
	if err != nil {
		return nil, err
	}
	c.machines = append(c.machines, m)
	return m, nil
}

// planner returns the machine whose node plans, nil if it is not known.
func (c *cluster) planner() *machine {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/status", c.machines[0].ip, metricsPort))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var status struct {
		Planner string `json:"planner"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return nil
	}
	for _, m := range c.machines {
		if m.name == status.Planner {
			return m
		}
	}
	return nil
}

// awaitServed waits until some requests through each machine succeed.
func (c *cluster) awaitServed(host string, limit time.Duration, request func(m *machine, i int) call) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		failed := 0
		for _, m := range c.machines {
			for i := range 8 {
				if c.send(nil, m, request(m, i)).status != http.StatusOK {
					failed++
				}
			}
		}
		if failed == 0 {
			return nil
		}
	}
	return fmt.Errorf("requests to %s are not served after %v", host, limit)
}

// stop ends all processes and stand-ins.
func (c *cluster) stop() {
	c.end()
	c.clients.Wait()
	for _, m := range c.machines {
		m.stop()
	}
	_ = c.server.Close() // ends all connections in any case
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, m := range c.machines {
			if data, err := os.ReadFile(m.log.Name()); err == nil {
				if err := os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600); err != nil {
					c.record.add("log of %s: %v", m.name, err)
				}
			}
		}
	}
	if err := os.RemoveAll(c.dir); err != nil {
		c.record.add("temporary folder: %v", err)
	}
}
