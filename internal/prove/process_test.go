package prove

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binDir is the directory with the binaries of basilwayd and standin.
var binDir string

func TestMain(m *testing.M) {
	go runStarter()
	go exitWithParent(os.Getppid())
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "basilway-prove-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		binDir = dir
		build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/basilwayd", "./cmd/standin")
		build.Dir = filepath.Join("..", "..")
		build.SysProcAttr = childAttributes()
		var out []byte
		onStarter(func() { out, err = build.CombinedOutput() })
		if err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		code := m.Run()
		printReport()
		return code
	}())
}

// startQueue holds the functions that runStarter is to call.
var startQueue = make(chan func())

// runStarter calls the functions that start children, on a thread that lives as long as the
// process: the kernel sends the parent-death signal to a child when the thread that started
// it ends.
func runStarter() {
	runtime.LockOSThread()
	for f := range startQueue {
		f()
	}
}

// onStarter calls f on the thread of runStarter and waits for its return.
func onStarter(f func()) {
	done := make(chan struct{})
	startQueue <- func() {
		defer close(done)
		f()
	}
	<-done
}

// exitWithParent ends the test process when its parent ends: the go command does not end the
// test process when it is killed itself.
func exitWithParent(parent int) {
	for range time.Tick(time.Second) {
		if os.Getppid() != parent {
			fmt.Fprintln(os.Stderr, "the parent process ended")
			os.Exit(1)
		}
	}
}

// process is a child process of the test. Its standard error goes to a file.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	code  int
	// firstLine receives the first line of standard output, if start was asked for it.
	firstLine chan string
}

// start starts a binary with its standard error in logFile. The process is killed at the end
// of the test if it still runs.
func start(t *testing.T, logFile string, firstLine bool, name string, args ...string) *process {
	t.Helper()
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), ended: make(chan struct{}), firstLine: make(chan string, 1)}
	p.cmd.Stderr = out
	var stdout sync.WaitGroup
	if firstLine {
		pipe, err := p.cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		stdout.Go(func() {
			scanner := bufio.NewScanner(pipe)
			for first := true; scanner.Scan(); first = false {
				if first {
					p.firstLine <- scanner.Text()
				}
			}
		})
	}
	p.cmd.SysProcAttr = childAttributes()
	onStarter(func() { err = p.cmd.Start() })
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		stdout.Wait()
		var exit *exec.ExitError
		switch err := p.cmd.Wait(); {
		case errors.As(err, &exit):
			p.code = exit.ExitCode()
		case err != nil:
			p.code = -1
		}
		_ = out.Close()
		close(p.ended)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process, even if it is paused, and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// listenAddress returns the address in the first line of output, which is like "platform
// listening on ADDRESS seed 1".
func (p *process) listenAddress(t *testing.T) string {
	t.Helper()
	select {
	case line := <-p.firstLine:
		fields := strings.Fields(strings.TrimPrefix(line[strings.Index(line, " on ")+4:], "http://"))
		return fields[0]
	case <-p.ended:
		t.Fatalf("%s ended with code %d", p.cmd.Path, p.code)
	case <-time.After(settleTimeout):
		t.Fatalf("%s printed no address", p.cmd.Path)
	}
	return ""
}
