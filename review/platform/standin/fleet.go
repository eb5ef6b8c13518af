package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Settings of the nodes, those of a small deployment.
const (
	graceSeconds = 6
	drainPeriod  = 3 * time.Second
	contact      = 4 * time.Second
	memoryMB     = 206
)

// node is one process of the system.
type node struct {
	name, caller, directory, ready, settings string

	command *exec.Cmd
	output  *os.File
	exited  chan struct{}
}

// fleet runs the nodes as processes, as deploy/system.toml says.
type fleet struct {
	store  *store
	folder string
	nodes  []*node
}

// newFleet writes the settings of a number of nodes, each with a loopback address of its own.
func newFleet(store *store, folder string, count int) (*fleet, error) {
	f := &fleet{store: store, folder: folder}
	for i := range count {
		name := fmt.Sprintf("node-%d", i+1)
		ip, err := freeIP()
		if err != nil {
			return nil, err
		}
		at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		n := &node{name: name, caller: at(8104), directory: at(8100), ready: at(8108), settings: filepath.Join(folder, name+".json")}
		settings, err := json.Marshal(map[string]any{
			"name": name, "domain": string(rune('a' + i%3)), "caller": n.caller, "directory": n.directory, "ready": n.ready,
			"metrics": at(7380), "link": at(7395), "store": store.address(), "grace": (graceSeconds * time.Second).String(),
			"drain": fmt.Sprintf("%dms", drainPeriod.Milliseconds()), "ratio": 0.2, "slack": 104, "window": "10s",
			"share": 0.272, "cores": 1, "memory": memoryMB, "files": 2870,
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.settings, settings, 0o600); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// freeIP returns a loopback address on which the ports of a node are free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []string{"7380", "7395", "8100", "8104", "8108"} {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close() // The port was only tried.
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address has free ports")
}

// start starts a node. The process ends with this one.
func (f *fleet) start(n *node) error {
	output, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.output = output
	n.command = exec.Command("target/wigeonspindled", "run")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WIGEONSPINDLE_SETTINGS=" + n.settings}
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.command.Wait() // close tells from exited that the process has ended.
		close(n.exited)
	}()
	return nil
}

// startAll starts all nodes and waits until each is ready.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		complete := true
		for _, n := range f.nodes {
			addresses, _, err := askDirectory(n.directory)
			complete = complete && err == nil && len(addresses) > 0 && isReady(n.ready)
		}
		if complete {
			return nil
		}
	}
	return fmt.Errorf("the nodes aren't ready after 20 s")
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status matters.
	return response.StatusCode == http.StatusOK
}

// running reports whether no node has ended by itself.
func (f *fleet) running() bool {
	for _, n := range f.nodes {
		select {
		case <-n.exited:
			return false
		default:
		}
	}
	return true
}

// close ends all processes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.command != nil && n.command.Process != nil && n.exited != nil {
			_ = n.command.Process.Kill() // It may have ended by itself.
			<-n.exited
			_ = n.output.Close() // The process has written its log.
		}
	}
}
