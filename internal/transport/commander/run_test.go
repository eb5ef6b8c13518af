package commander_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/transport/commander"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// TestRun guards against a host program whose parts are not connected: operators configure it,
// a caller gets an answer, the metrics count the answer, and a drain ends the program
// successfully. It also guards against leaked goroutines and against the token in the log.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	environment := &simulator.Environment{Settings: simulator.Settings{Seed: 1, Groups: []simulator.Group{{
		Index: "lookup", Preference: wigeonspindle.PreferCoverage, Domains: []string{"a"}, Shards: 2, Replicas: 1, Slots: 2,
		Connections: 50, ServiceTime: wigeonspindle.Duration(time.Millisecond), Floor: 20,
	}}}}
	addresses, err := environment.Run()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := environment.Close(); err != nil {
			t.Error(err)
		}
	}()
	settings := parser.Settings{
		Name: "host-1", Domain: "a", Cell: "main", CallerAddress: simulator.ReservedAddress(), LinkAddress: simulator.ReservedAddress(), AdminAddress: simulator.ReservedAddress(), Token: token,
		StoreAddress: addresses.Store, HostListAddress: addresses.Hosts, Workers: 1, LogLevel: "debug", MaxBodyBytes: 4096, MaxConnections: 16,
	}
	environment.Hosts.Set([]wigeonspindle.ListedHost{{Name: "host-1", LinkAddress: settings.LinkAddress}})
	dir := t.TempDir()
	var log bytes.Buffer
	exited := make(chan int, 1)
	go func() {
		program := &commander.Commander{Out: io.Discard, Err: &log}
		exited <- program.Run([]string{"run", "--config", writeJSON(t, dir, "settings.json", settings)})
	}()
	t.Setenv("WIGEONSPINDLE_ADDRESS", settings.AdminAddress)
	t.Setenv("WIGEONSPINDLE_TOKEN", token)
	waitFor(t, "the operators' listener", func() bool { code, _, _ := run("status"); return code == commander.ExitOK })
	inventory := writeJSON(t, dir, "inventory.json", encoder.Inventory{Indexes: addresses.Indexes})
	if code, _, stderr := run("inventory", "put", inventory, "--author", "me"); code != commander.ExitOK {
		t.Fatalf("inventory put: got code %d and %s, want code 0", code, stderr)
	}
	answer := ""
	waitFor(t, "a complete answer", func() bool {
		answer = query(t, settings.CallerAddress, "wool")
		return strings.Contains(answer, `"answered":2,"total":2`)
	})
	var complete wigeonspindle.Answer
	if err := json.Unmarshal([]byte(answer), &complete); err != nil {
		t.Fatal(err)
	}
	code, out, stderr := run("timeline", "--trace", complete.Trace)
	for _, want := range []string{"host-1 admitted", "host-1 sent", "host-1 answered"} {
		if code != commander.ExitOK || !strings.Contains(out, want) {
			t.Errorf("timeline: got code %d and %s%s, want %s", code, out, stderr, want)
		}
	}
	if got := query(t, settings.CallerAddress, strings.Repeat("w", 5000)); !strings.Contains(got, `"code":"too-large","verdict":"not-run"`) {
		t.Errorf("oversized body: got %s, want too-large and not-run", got)
	}
	metrics := httpGet(t, settings.AdminAddress, "/metrics")
	for _, want := range []string{
		"wigeonspindle_config_revision 1\n", `wigeonspindle_answers_total{coverage="whole",index="lookup",verdict="ran"} `,
		`wigeonspindle_attempts_total{index="lookup",kind="`,
	} {
		if !strings.Contains(metrics, want) {
			t.Errorf("metrics: got %s, want %s", metrics, want)
		}
	}
	if code, out, stderr := run("drain", "--wait", "--timeout", "60s"); code != commander.ExitOK || !strings.Contains(out, "has stopped") {
		t.Errorf("drain: got code %d and %s%s, want code 0 and a stopped host", code, out, stderr)
	}
	if code := <-exited; code != commander.ExitOK {
		t.Errorf("run: got code %d, want %d", code, commander.ExitOK)
	}
	if got := log.String(); strings.Contains(got, token) || !strings.Contains(got, "msg=configured") {
		t.Errorf("log: got %s, want msg=configured and no token", got)
	}
}

func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for range 300 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("got nothing within 15 s, want %s", event)
}

func query(t *testing.T, address, body string) string {
	t.Helper()
	text := `{"index":"lookup","budget":"1s","body":"` + body + `"}`
	response, err := http.Post("http://"+address+"/query", "application/json", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return readBody(t, response)
}

func httpGet(t *testing.T, address, path string) string {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	return readBody(t, response)
}

func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func writeJSON(t *testing.T, dir, name string, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
