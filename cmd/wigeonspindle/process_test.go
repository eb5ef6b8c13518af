package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/loader"
	"wigeonspindle.example/wigeonspindle/internal/transport/requester"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// stepTimeout is the time after which a step counts as hung. A passing test never waits for
// it.
const stepTimeout = 60 * time.Second

// budget is the time budget of a query. It is long because the machine may be busy.
const budget = 5 * time.Second

// programDir is the directory of the built programs.
var programDir string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "wigeonspindle")
	if err != nil {
		panic(err)
	}
	programDir = directory
	build := exec.Command("go", "build", "-o", directory+"/", "../wigeonspindle", "../standin")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%s: %s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a program that a test started.
type process struct {
	command *exec.Cmd
	output  *bytes.Buffer
	exited  chan struct{}
}

// startProcess runs a program and kills it, by its process ID, when the test ends.
func startProcess(t testing.TB, program string, settings any, stdout *os.File) *process {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	arguments := []string{"--config", file}
	if program == "wigeonspindle" {
		arguments = append([]string{"run"}, arguments...)
	}
	p := &process{command: exec.Command(filepath.Join(programDir, program), arguments...), output: &bytes.Buffer{}, exited: make(chan struct{})}
	p.command.Stderr = p.output
	if stdout != nil {
		p.command.Stdout = stdout
	}
	// The kernel kills the process if the test binary exits without running its cleanups.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() && p.output.Len() > 0 {
			t.Logf("%s %d: %s", program, p.command.Process.Pid, p.output)
		}
	})
	return p
}

func (p *process) signal(t testing.TB, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// cluster is a query tier with one process per host and the simulated systems in another
// process.
type cluster struct {
	addresses simulator.Addresses
	settings  []parser.Settings
	hosts     []*process
	client    *requester.Requester
}

// startCluster starts five hosts in three failure domains and waits until each gives a
// complete answer.
func startCluster(t testing.TB) *cluster { return startClusterOfSize(t, 5, 6) }

// startClusterOfSize starts hosts that serve an index with the given number of shards and two
// replicas of each.
func startClusterOfSize(t testing.TB, hosts, shards int) *cluster {
	t.Helper()
	domains := []string{"a", "b", "c"}
	c := &cluster{}
	c.startStandins(t, simulator.Settings{Seed: 1, Groups: []simulator.Group{{
		Index: "lookup", Preference: wigeonspindle.PreferCoverage, Domains: domains, Shards: shards, Replicas: 2, Slots: 2, Connections: 50,
		ServiceTime: wigeonspindle.Duration(5 * time.Millisecond), Floor: 20, Downtime: wigeonspindle.Duration(time.Second),
	}}})
	var listings []wigeonspindle.ListedHost
	free := simulator.ReservedAddresses(3 * hosts)
	for i := range hosts {
		s := parser.Settings{
			Name: fmt.Sprintf("host-%d", i), Domain: domains[i%len(domains)], Cell: "main", CallerAddress: free[3*i], LinkAddress: free[3*i+1], AdminAddress: free[3*i+2],
			Token: "token-of-the-end-to-end-tests-only", StoreAddress: c.addresses.Store, HostListAddress: c.addresses.Hosts, Workers: 2, LogLevel: "warn", MaxBodyBytes: 1 << 20, RequestMemoryMB: crowdRequestMemoryMB, MaxConnections: 4096,
		}
		c.settings = append(c.settings, s)
		listings = append(listings, wigeonspindle.ListedHost{Name: s.Name, LinkAddress: s.LinkAddress})
	}
	c.postControl(t, "/hosts", simulator.HostListChange{Listings: listings})
	c.configure(t)
	c.client = &requester.Requester{Domain: "a", Caller: "test", Clock: timekeeper.SystemClock{}}
	t.Cleanup(func() { _ = c.client.Close() })
	for _, s := range c.settings {
		c.hosts = append(c.hosts, startProcess(t, "wigeonspindle", s, nil))
		c.client.Seeds = append(c.client.Seeds, s.CallerAddress)
	}
	for i := range c.hosts {
		c.waitForCompleteAnswer(t, i)
	}
	return c
}

func (c *cluster) startStandins(t testing.TB, settings simulator.Settings) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	startProcess(t, "standin", settings, writer)
	_ = writer.Close()
	defer func() { _ = reader.Close() }()
	_ = reader.SetReadDeadline(time.Now().Add(stepTimeout))
	if err := json.NewDecoder(reader).Decode(&c.addresses); err != nil {
		t.Fatalf("read the addresses of the simulated systems: %v", err)
	}
}

// configure writes the initial configuration to the store.
func (c *cluster) configure(t testing.TB) {
	t.Helper()
	config := wigeonspindle.Config{
		Indexes: c.addresses.Indexes,
		Domains: []wigeonspindle.Domain{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Rules: wigeonspindle.Rules{
			Extra: 0.05, Soft: 0.8, Lifetime: wigeonspindle.Duration(10 * time.Minute),
			Expiry: wigeonspindle.Duration(10 * time.Minute), Lease: wigeonspindle.Duration(3 * time.Second),
		},
	}
	if err := loader.Seed(context.Background(), c.addresses.Store, config); err != nil {
		t.Fatal(err)
	}
}

// waitForCompleteAnswer waits until a host answers with complete coverage.
func (c *cluster) waitForCompleteAnswer(t testing.TB, host int) {
	t.Helper()
	var got reply
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		got = post(t, c.settings[host].CallerAddress, encoder.QueryRequest{
			Index: "lookup", Body: "ready", Budget: wigeonspindle.Duration(time.Second),
		})
		if got.err == nil && got.answer.Refusal == nil && got.answer.Coverage.Complete() {
			return
		}
	}
	t.Fatalf("host %d: got %+v, error %v, want a complete answer", host, got.answer, got.err)
}

// postControl posts a change to the control port of the simulated systems.
func (c *cluster) postControl(t testing.TB, path string, change any) {
	t.Helper()
	data, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+c.addresses.Control+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("control %s: got status %d, want success", path, response.StatusCode)
	}
}

// getControl reads JSON from the control port of the simulated systems.
func (c *cluster) getControl(t testing.TB, path string, value any) {
	t.Helper()
	response, err := http.Get("http://" + c.addresses.Control + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		t.Fatal(err)
	}
}

func (c *cluster) counts(t testing.TB) simulator.Counts {
	t.Helper()
	var counts simulator.Counts
	c.getControl(t, "/counts", &counts)
	return counts
}

func (c *cluster) executedShards(t testing.TB, body string) map[string]string {
	t.Helper()
	var shards map[string]string
	c.getControl(t, "/tally?body="+url.QueryEscape(body), &shards)
	return shards
}

// reply is the response of a host to a request, or the error of the request.
type reply struct {
	answer  wigeonspindle.Answer
	status  int
	refused bool // refused is set when the connection was refused.
	err     error
}

// post sends a query to a host on a new connection.
func post(t testing.TB, host string, request any) reply {
	t.Helper()
	data, ok := request.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(request); err != nil {
			t.Fatal(err)
		}
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stepTimeout}
	response, err := client.Post("http://"+host+"/query", "application/json", bytes.NewReader(data))
	if err != nil {
		return reply{refused: strings.Contains(err.Error(), "connection refused"), err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode}
	r.err = json.NewDecoder(response.Body).Decode(&r.answer)
	return r
}

// traffic is a bounded stream of queries from several callers.
type traffic struct {
	mutex   sync.Mutex
	answers map[string]wigeonspindle.Answer // answers holds one answer per request body.
	stop    chan struct{}
	callers sync.WaitGroup
}

// startTraffic starts callers that each send queries one at a time until the traffic ends.
func (c *cluster) startTraffic(name string, class wigeonspindle.Class) *traffic {
	const callers, queries = 4, 2000
	tr := &traffic{answers: make(map[string]wigeonspindle.Answer), stop: make(chan struct{})}
	for caller := range callers {
		tr.callers.Go(func() {
			for i := range queries {
				select {
				case <-tr.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				body := fmt.Sprintf("%s-%d-%d", name, caller, i)
				request := encoder.QueryRequest{
					Index: "lookup", Body: body, Class: class, Budget: wigeonspindle.Duration(budget),
				}
				if class == wigeonspindle.ClassOnce {
					request.Shards = []string{"s00"} // A once request names exactly one shard.
				}
				answer := c.client.Query(context.Background(), request)
				tr.mutex.Lock()
				tr.answers[body] = answer
				tr.mutex.Unlock()
			}
		})
	}
	return tr
}

// end stops the traffic and returns the answers.
func (tr *traffic) end() map[string]wigeonspindle.Answer {
	close(tr.stop)
	tr.callers.Wait()
	return tr.answers
}
