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
	// crowdSize is the number of the crowd's connections. The settings allow 4,100 descriptors, 200 of them for files.
	crowdSize = 400
	// headSize is the size of the header that each client of the crowd sends. max_header_bytes is 16384.
	headSize = 60000
	// crowdTime is how long the crowd stays.
	crowdTime = 8 * time.Second
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
	target := l.machines[0]
	ordinary := startTraffic(l.machines, "GET", "/lookup/x", 100*time.Millisecond, time.Second)
	crowd := &crowd{target: target, stop: make(chan struct{})}
	if trouble {
		crowd.start()
		l.record.note("%d clients send a header of %d bytes to %s, without its end, behind a small request, and stay connected", crowdSize, headSize, target.name)
	}
	target.mu.Lock()
	pid := target.process.Process.Pid
	target.mu.Unlock()
	most := int64(0)
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(sampleInterval) {
		resident, err := residentBytes(pid)
		if err != nil {
			return false, err
		}
		if resident > most {
			l.record.write("%s: %d KiB resident", target.name, resident>>10)
		}
		most = max(most, resident)
	}
	crowd.end()
	served, tries := 0, ordinary.end()
	for _, t := range tries {
		if t.status == 200 {
			served++
		}
	}
	l.record.note("%s: %d MiB resident at most; %d MiB are allowed; %d clients of the crowd connected; %d of %d ordinary requests served",
		target.name, most>>20, memoryLimit>>20, crowd.connected.Load(), served, len(tries))
	return most > memoryLimit, nil
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
		c.done.Go(func() { c.client(text) })
	}
}

func (c *crowd) end() {
	close(c.stop)
	c.done.Wait()
}

// client connects once and stays. If the node closes the connection, it doesn't come back.
func (c *crowd) client(text string) {
	conn, err := net.DialTimeout("tcp", c.target.address(outboundPort), crowdTime)
	if err != nil {
		return
	}
	defer conn.Close()
	c.connected.Add(1)
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	// A node that refuses the client closes the connection while this writes.
	_, _ = io.WriteString(conn, text)
	<-c.stop
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
