package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the settings, in bytes.
	memoryLimit = 284 << 20
	// crowdSize is the number of a crowd's connections. The settings allow 4,100 descriptors, 200 of them for files.
	crowdSize = 400
	// headSize is the size of the header that each client of the crowd sends. max_header_bytes is 16384.
	headSize = 60000
	// crowdTime is how long the crowd stays at most.
	crowdTime = 60 * time.Second
	// calmTime is how long the memory is watched without a crowd.
	calmTime = 10 * time.Second
	// comesBack is the pause after which a client whose connection was closed comes back.
	comesBack = time.Second
	// crowdedMachines is the number of machines that have a crowd, and endsToBreak how often their processes have to end.
	crowdedMachines, endsToBreak = 2, 3
	// restartAfter is the short delay after which the platform starts a process again.
	restartAfter = 500 * time.Millisecond
	// sampleInterval is the time between two looks at the memory.
	sampleInterval = 20 * time.Millisecond
)

// memoryCase: many clients send a small request, and behind it a header over the limit of very many short lines without
// its end, and stay connected.
func memoryCase(l *lab, trouble bool) (broken bool, err error) {
	s, err := startStore(l.ip(100) + fmt.Sprintf(":%d", storePort))
	if err != nil {
		return false, err
	}
	routes := []route{{"lookup", "/lookup/", "idempotent", "sesshon", 1000}, {"book", "/book/", "non_idempotent", "sesshon", 1000}}
	if err := s.writeDesired(1, routes, []service{{name: "sesshon"}}); err != nil {
		return false, err
	}
	if _, err := l.startAll(s, []string{"sesshon", "sesshon", "sesshon"}, 5*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	ordinary := startTraffic(l.machines, "GET", "/lookup/x", 100*time.Millisecond, time.Second)
	var watched []*watchedMachine
	for _, m := range l.machines[:crowdedMachines] {
		w := &watchedMachine{machine: m, crowd: &crowd{target: m, stop: make(chan struct{})}}
		if trouble {
			w.crowd.start()
			l.record.note("%d clients send a header of %d bytes to %s, without its end, behind a small request, and stay connected", crowdSize, headSize, m.name)
		}
		watched = append(watched, w)
	}
	stays := crowdTime
	if !trouble {
		stays = calmTime
	}
	ended := 0
	for end := time.Now().Add(stays); time.Now().Before(end) && ended < crowdedMachines; time.Sleep(sampleInterval) {
		ended = 0
		for _, w := range watched {
			if err := w.watch(); err != nil {
				return false, err
			}
			if w.ends >= endsToBreak {
				ended++
			}
		}
	}
	for _, w := range watched {
		w.crowd.end()
		l.record.note("%s: %d MiB resident at most, %d MiB are allowed; ended %d times for its memory; its crowd connected %d times",
			w.machine.name, w.most>>20, memoryLimit>>20, w.ends, w.crowd.connected.Load())
	}
	served, tries := 0, ordinary.end()
	for _, t := range tries {
		if t.status == 200 {
			served++
		}
	}
	l.record.note("%d of %d ordinary requests served", served, len(tries))
	return ended == crowdedMachines, nil
}

// watchedMachine is a machine whose memory the platform watches: a process over its memory is killed, and started again
// after a short delay.
type watchedMachine struct {
	machine *machine
	crowd   *crowd
	most    int64 // resident bytes
	ends    int
	startAt time.Time // zero while the process runs
}

// watch looks at the memory once.
func (w *watchedMachine) watch() error {
	if !w.startAt.IsZero() {
		if time.Now().Before(w.startAt) {
			return nil
		}
		w.startAt = time.Time{}
		return w.machine.start(false)
	}
	w.machine.mu.Lock()
	pid := w.machine.process.Process.Pid
	w.machine.mu.Unlock()
	resident, err := residentBytes(pid)
	if err != nil {
		return err
	}
	w.most = max(w.most, resident)
	if resident <= memoryLimit {
		return nil
	}
	w.ends++
	w.machine.record.write("%s: %d KiB resident, over the limit; the platform ends the process", w.machine.name, resident>>10)
	w.machine.kill()
	w.startAt = time.Now().Add(restartAfter)
	return nil
}

// crowd is a number of clients that send too little or too much.
type crowd struct {
	target    *machine
	connected atomic.Int64
	stop      chan struct{}
	done      sync.WaitGroup
}

func (c *crowd) start() {
	text := crowdText()
	for range crowdSize {
		c.done.Go(func() {
			for c.client(text) {
				time.Sleep(comesBack)
			}
		})
	}
}

func (c *crowd) end() {
	close(c.stop)
	c.done.Wait()
}

// client connects once and stays until the connection is closed. It returns false once the crowd leaves.
func (c *crowd) client(text string) (again bool) {
	select {
	case <-c.stop:
		return false
	default:
	}
	conn, err := net.DialTimeout("tcp", c.target.address(outboundPort), time.Second)
	if err != nil {
		return true // the node is down
	}
	defer conn.Close()
	c.connected.Add(1)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}()
	// A node that refuses the client closes the connection while this writes.
	_, _ = io.WriteString(conn, text)
	select {
	case <-c.stop:
		return false
	case <-closed:
		return true
	}
}

// uncountedPart is how much of a connection has been read when the node begins to count the second header: what it read
// before it handed the connection to http.Server, and the byte with which that waits for the client's next sign.
const uncountedPart = 4096 + 1

// crowdText is what each client of the crowd sends: a small request whose client waits for an interim response, and the
// header of another one with lines of five bytes, without its last empty line. The path of the second request has up to
// four bytes more, so that the first byte behind uncountedPart ends a line.
func crowdText() string {
	const common = "Host: " + host + "\r\nAttempt-Id: 00000000000c0de0\r\nDeadline-Ms: 1000\r\n"
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789"
	first := "POST /book/x HTTP/1.1\r\n" + common + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody"
	for path := "/lookup/x"; ; path += "x" {
		var head strings.Builder
		head.WriteString("GET " + path + " HTTP/1.1\r\n" + common)
		for k := 0; head.Len()+len("abc:\n")+len("\r\n") <= headSize; k++ {
			n := len(characters)
			fmt.Fprintf(&head, "%c%c%c:\n", characters[k%n], characters[k/n%n], characters[k/n/n%n])
		}
		if text := first + head.String(); text[uncountedPart] == '\n' {
			return text
		}
	}
}

// residentBytes returns the resident memory of a process that this one started.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("process %d has no memory", pid)
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10, err
}
