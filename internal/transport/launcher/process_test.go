package launcher_test

import (
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/lister"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

// processVariable names the environment variable with the arguments of a host process: name,
// domain, caller address, link address, store address and host list address.
const processVariable = "WIGEONSPINDLE_TEST_HOST"

// TestHostProcess is the program that startProcess runs. Without processVariable it does
// nothing.
func TestHostProcess(t *testing.T) {
	fields := strings.Fields(os.Getenv(processVariable))
	if len(fields) != 6 {
		return
	}
	host := &launcher.Host{
		Settings: parser.Settings{Name: fields[0], Domain: fields[1], Cell: "main", CallerAddress: fields[2], LinkAddress: fields[3], Workers: 1},
		Clock:    timekeeper.SystemClock{}, Logger: log.New(io.Discard), Sender: &sender.Sender{Clock: timekeeper.SystemClock{}},
		Store: &storer.Storer{Address: fields[4]}, Lister: &lister.Lister{Address: fields[5]},
	}
	if err := host.Run(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // Returns when the parent process ends or closes the pipe.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = host.Close(ctx)
}

// startProcess runs the next host of the cell in a separate process.
func (c *testCell) startProcess(t *testing.T) (string, *os.Process) {
	t.Helper()
	host := c.addHost()
	c.hosts = c.hosts[:len(c.hosts)-1]
	s := host.Settings
	command := exec.Command(os.Args[0], "-test.run=^TestHostProcess$")
	fields := []string{s.Name, s.Domain, s.CallerAddress, s.LinkAddress, serverAddress(c.storeServer), serverAddress(c.listServer)}
	command.Env = append(os.Environ(), processVariable+"="+strings.Join(fields, " "))
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = input.Close()
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return s.Name, command.Process
}

func memberOf(host *launcher.Host, name string) wigeonspindle.Member {
	for _, m := range host.Status().Members {
		if m.Host.Name == name {
			return m
		}
	}
	return wigeonspindle.Member{}
}

// TestFrozenProcess guards against a frozen process that is reported as dead, and against a
// dead one that counts as frozen until the long timeout.
func TestFrozenProcess(t *testing.T) {
	c := newTestCell(t, 3, time.Millisecond)
	name, process := c.startProcess(t)
	hasCondition := func(condition wigeonspindle.Condition) func(*launcher.Host) bool {
		return func(h *launcher.Host) bool { return memberOf(h, name).Condition == condition }
	}
	c.awaitAll(t, 10*time.Second, "the process is live", hasCondition(wigeonspindle.ConditionLive))
	before := memberOf(c.hosts[0], name)
	signal(t, process, syscall.SIGSTOP)
	took := c.awaitAll(t, 3*time.Second, "the frozen process is suspect", hasCondition(wigeonspindle.ConditionSuspect))
	t.Logf("frozen: suspect after %s", took)
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		for _, host := range c.hosts {
			if got := memberOf(host, name); got.Condition != wigeonspindle.ConditionSuspect || got.Dead {
				t.Fatalf("frozen: got %+v, want suspect", got)
			}
		}
	}
	signal(t, process, syscall.SIGCONT)
	took = c.awaitAll(t, 3*time.Second, "the process is live again", hasCondition(wigeonspindle.ConditionLive))
	t.Logf("resumed: live after %s", took)
	if got := memberOf(c.hosts[0], name).Host.Incarnation; got != before.Host.Incarnation {
		t.Errorf("resumed: got incarnation %s, want %s", got, before.Host.Incarnation)
	}
	signal(t, process, syscall.SIGKILL)
	took = c.awaitAll(t, 6*time.Second, "the dead process is gone", hasCondition(wigeonspindle.ConditionGone))
	t.Logf("killed: gone after %s", took)
	if got := memberOf(c.hosts[0], name); !got.Dead {
		t.Errorf("killed: got %+v, want dead", got)
	}
}

func signal(t *testing.T, process *os.Process, number syscall.Signal) {
	t.Helper()
	if err := process.Signal(number); err != nil {
		t.Fatal(err)
	}
}
