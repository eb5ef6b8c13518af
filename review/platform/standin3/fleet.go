package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// hostSpec holds the settings of a host that differ between the cases.
type hostSpec struct {
	name, zone string
	memory     int // memory is in megabytes.
	files      int
}

// host is a process of the project.
type host struct {
	hostSpec
	caller, directory string
	settings          string         // settings is the path of the settings file.
	fields            map[string]any // fields is its content.
	command           *exec.Cmd
	exited            chan struct{}
}

// network is the second and third byte of the loopback addresses of the hosts. Outgoing connections use 127.0.0.1, so they
// can't take the port of a host that starts.
var network = fmt.Sprintf("%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))

// hostCount numbers the hosts.
var hostCount int

// freeAddresses returns addresses of a host with ports that are free now.
func freeAddresses(number, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%s.%d:0", network, number))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // After all have been chosen, so that they differ.
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startHost starts a host with the command of the deploy file.
func startHost(spec hostSpec, storeAddress, folder string) (*host, error) {
	h := &host{hostSpec: spec, settings: filepath.Join(folder, spec.name+".json")}
	settings := map[string]any{
		"name": spec.name, "domain": spec.zone, "store": storeAddress, "grace": "6s", "drain": "3000ms", "ratio": 0.2, "slack": 104,
		"window": "10s", "share": 0.272, "cores": 1, "memory": spec.memory, "files": spec.files,
	}
	hostCount++
	names := []string{"caller", "directory", "ready", "metrics", "link"}
	addresses, err := freeAddresses(hostCount, len(names))
	if err != nil {
		return nil, err
	}
	for i, name := range names {
		settings[name] = addresses[i]
	}
	h.caller, h.directory = addresses[0], addresses[1]
	h.fields = settings
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	return h, h.run(folder)
}

// writeSettings writes the settings file.
func (h *host) writeSettings() error {
	data, err := json.Marshal(h.fields)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, data, 0o600)
}

// moveStore changes the address of the store in the settings file and sends SIGHUP.
func (h *host) moveStore(address string) error {
	h.fields["store"] = address
	if err := h.writeSettings(); err != nil {
		return err
	}
	return h.command.Process.Signal(syscall.SIGHUP)
}

func (h *host) run(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/wigeonspindled", "run")
	h.command.Env = append(os.Environ(), "WIGEONSPINDLE_SETTINGS="+h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	// The kernel kills the process if this one ends without stopping it.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // The exit code doesn't matter.
		_ = log.Close()
		close(exited)
	}(h.command, h.exited)
	return nil
}

// kill ends the process.
func (h *host) kill() {
	_ = h.command.Process.Kill() // The process may have ended.
	<-h.exited
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process in units of 1024 x 1024 bytes; 0 if it has ended.
func (h *host) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	line, _, _ := strings.Cut(rest, "kB")
	kilobytes, _ := strconv.ParseFloat(strings.TrimSpace(line), 64) // A process that ends has no such line.
	return kilobytes / 1024
}

// waitFor waits until a condition holds, at most for a time.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
