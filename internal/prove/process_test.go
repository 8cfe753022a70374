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

// binaries is the folder with basilwayd and standin.
var binaries string

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
		binaries = dir
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

// starts are the functions that runStarter calls.
var starts = make(chan func())

// runStarter calls the functions that start children. The parent-death signal of a child
// comes when the thread that started it ends, so this thread stays until the process ends.
func runStarter() {
	runtime.LockOSThread()
	for f := range starts {
		f()
	}
}

// onStarter calls f on the thread of runStarter and waits for its return.
func onStarter(f func()) {
	done := make(chan struct{})
	starts <- func() {
		defer close(done)
		f()
	}
	<-done
}

// exitWithParent ends the test process when its parent ends: the go command does not end
// the tests when it is killed.
func exitWithParent(parent int) {
	for range time.Tick(time.Second) {
		if os.Getppid() != parent {
			fmt.Fprintln(os.Stderr, "the parent process ended")
			os.Exit(1)
		}
	}
}

// process is a child of the test. Its output goes to a file.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	code  int
	// first gets the first line of standard output, if it was asked for.
	first chan string
}

// start runs a binary. It ends with the test at the latest.
func start(t *testing.T, logFile string, firstLine bool, name string, args ...string) *process {
	t.Helper()
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), args...), ended: make(chan struct{}), first: make(chan string, 1)}
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
					p.first <- scanner.Text()
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

// kill ends the process at once, also when it is paused, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// listening returns the address in a line such as "platform listening on ADDRESS seed 1".
func (p *process) listening(t *testing.T) string {
	t.Helper()
	select {
	case line := <-p.first:
		fields := strings.Fields(strings.TrimPrefix(line[strings.Index(line, " on ")+4:], "http://"))
		return fields[0]
	case <-p.ended:
		t.Fatalf("%s ended with code %d", p.cmd.Path, p.code)
	case <-time.After(settleLimit):
		t.Fatalf("%s printed no address", p.cmd.Path)
	}
	return ""
}
