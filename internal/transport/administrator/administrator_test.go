package administrator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/transport/administrator"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

const token = "0123456789abcdef"

func newHandler(host *simulator.Administration) http.Handler {
	meter := administrator.NewMeter(fixedClock{})
	meter.Host = host
	api := &administrator.Administrator{Token: token, Host: host, Meter: meter, Clock: fixedClock{}, Logger: log.New(io.Discard)}
	return api.Handler()
}

// call sends a request with the token and returns the status and the body.
func call(h http.Handler, method, path, body string) (int, string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	response := httptest.NewRecorder()
	h.ServeHTTP(response, request)
	return response.Code, response.Body.String()
}

// TestToken guards against a route that changes or reveals state without a valid token.
func TestToken(t *testing.T) {
	routes := []struct {
		method, path string
		public       bool
	}{
		{"GET", "/health", true},
		{"GET", "/ready", true},
		{"GET", "/metrics", true},
		{"GET", "/inventory", false},
		{"PUT", "/inventory", false},
		{"GET", "/rules", false},
		{"PUT", "/rules", false},
		{"GET", "/domains", false},
		{"PUT", "/domains/a", false},
		{"GET", "/status", false},
		{"GET", "/events", false},
		{"GET", "/history", false},
		{"POST", "/drain", false},
	}
	host := newFakeHost()
	h := newHandler(host)
	for _, route := range routes {
		for _, header := range []string{"", "Bearer", "Bearer wrong", "Basic " + token, token, "Bearer " + token + "x"} {
			request := httptest.NewRequest(route.method, route.path, nil)
			request.Header.Set("Authorization", header)
			response := httptest.NewRecorder()
			h.ServeHTTP(response, request)
			if open := response.Code == http.StatusOK; open != route.public {
				t.Errorf("%s %s with %q: got status %d, want public %t", route.method, route.path, header, response.Code, route.public)
			}
			if !route.public && !strings.Contains(response.Body.String(), `"code":"denied","verdict":"not-run"`) {
				t.Errorf("%s %s: got %s, want a refusal", route.method, route.path, response.Body)
			}
		}
	}
	if host.DrainCalls != 0 {
		t.Errorf("drains: got %d, want 0", host.DrainCalls)
	}
}

// TestChanges guards against accepting a change without an expected revision, against a dry
// run that writes, and against refusals without code, verdict or field.
func TestChanges(t *testing.T) {
	const index = `{"name":"a","prefer":"tail","snapshots":[{"version":"v","shards":["s"]}],"targets":[` +
		`{"name":"t","address":"192.0.2.1:70","domain":"d","shards":["s"],"slots":2,"connections":50,"open":"6ms","floor":5}]}`
	const rules = `{"extra":0.05,"canary":true,"soft":0.8,"lifetime":"10m","expiry":"10m","lease":"3s"}`
	tests := []struct {
		name, path, body string
		status           int
		want             string
		revision         wigeonspindle.Revision
	}{
		{"inventory", "/inventory", `{"expected":7,"author":"me","indexes":[` + index + `]}`, 200, `"revision":8`, 8},
		{"dry", "/inventory?dry=true", `{"expected":7,"author":"me","indexes":[` + index + `]}`, 200, `{"dry":true,`, 7},
		{"not dry", "/inventory?dry=false", `{"expected":7,"author":"me","indexes":[` + index + `]}`, 200, `"revision":8`, 8},
		{"dry misspelled", "/inventory?dry=yess", `{}`, 400, `"field":"dry"`, 7},
		{"parameter misspelled", "/inventory?dryrun=true", `{}`, 400, `"field":"dryrun"`, 7},
		{"rules", "/rules", `{"expected":7,"author":"me","rules":` + rules + `}`, 200, `"revision":8`, 8},
		{"no revision", "/rules", `{"author":"me","rules":` + rules + `}`, 400, `"field":"expected"`, 7},
		{"no author", "/rules", `{"expected":7,"rules":` + rules + `}`, 400, `"field":"author"`, 7},
		{"conflict", "/rules", `{"expected":6,"author":"me","rules":` + rules + `}`, 409, `"code":"conflict","verdict":"not-run"`, 7},
		{"part", "/rules", `{"expected":7,"author":"me","indexes":[` + index + `]}`, 400, `"faults":[{"field":"indexes","message":"is not accepted here, only rules"},{"field":"rules","message":"is required"}]`, 7},
		{"oversized", "/rules", strings.Repeat(" ", 16<<20+1), 413, `"code":"too-large","verdict":"not-run"`, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			host := newFakeHost()
			status, body := call(newHandler(host), "PUT", test.path, test.body)
			if status != test.status || !strings.Contains(body, test.want) {
				t.Errorf("answer: got %d %s, want %d and %s", status, body, test.status, test.want)
			}
			if got := host.Current.Revision; got != test.revision {
				t.Errorf("revision: got %d, want %d", got, test.revision)
			}
			domains := 2 // A target of the new inventory declares a third one.
			if test.revision == 8 && test.path != "/rules" {
				domains = 3
			}
			if got := host.Current.Domains; len(got) != domains || !got[1].Out {
				t.Errorf("domains: got %v, want %d with b out of service", got, domains)
			}
		})
	}
}

// TestFaults guards against reporting a change with unknown result as not run, and against
// losing the verdict of a refusal by the host.
func TestFaults(t *testing.T) {
	rules := `{"expected":7,"author":"me","rules":{"extra":0.05,"canary":true,"soft":0.8,"lifetime":"10m","expiry":"10m","lease":"3s"}}`
	tests := []struct {
		name string
		err  error
		want string
	}{
		{"unknown error", io.ErrUnexpectedEOF, `"code":"unavailable","verdict":"may-have-run"`},
		{"refusal", &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnavailable, Verdict: wigeonspindle.NotRun}, `"verdict":"not-run"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			host := newFakeHost()
			host.Err = test.err
			status, body := call(newHandler(host), "PUT", "/rules", rules)
			if status != 503 || !strings.Contains(body, test.want) {
				t.Errorf("answer: got %d %s, want 503 and %s", status, body, test.want)
			}
		})
	}
}

// TestDomains guards against accepting a misspelled domain, and against an outage of the store
// that prevents taking a known domain out of service.
func TestDomains(t *testing.T) {
	tests := []struct {
		name, path, body string
		soft             bool
		status           int
		want             string
		out              bool
	}{
		{"out", "/domains/a", `{"author":"me","out":true}`, false, 200, `"out":true,"soft":false`, true},
		{"soft", "/domains/a", `{"author":"me","out":true}`, true, 200, `"soft":true`, true},
		{"in", "/domains/b", `{"author":"me","out":false}`, false, 200, `"domain":"b","out":false`, true},
		{"dry", "/domains/a?dry=1", `{"author":"me","out":true}`, false, 200, `"dry":true`, false},
		{"expected", "/domains/a", `{"author":"me","out":true,"expected":6}`, false, 409, `"field":"expected"`, false},
		{"unknown", "/domains/z", `{"author":"me","out":true}`, false, 400, `"field":"name"`, false},
		{"no state", "/domains/a", `{"author":"me"}`, false, 400, `"field":"out"`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			host := newFakeHost()
			host.Soft = test.soft
			status, body := call(newHandler(host), "PUT", test.path, test.body)
			if status != test.status || !strings.Contains(body, test.want) {
				t.Errorf("answer: got %d %s, want %d and %s", status, body, test.status, test.want)
			}
			if got := len(host.OutOfService) == 1; got != test.out {
				t.Errorf("changed: got %t, want %t", got, test.out)
			}
		})
	}
}

// TestReads guards against responses that do not have the documented format.
func TestReads(t *testing.T) {
	host := newFakeHost()
	host.Timeline = []wigeonspindle.Event{
		{Stamp: wigeonspindle.Timestamp{Wall: startTime}, Trace: "q1"},
		{Stamp: wigeonspindle.Timestamp{Wall: startTime.Add(time.Second)}, Trace: "q2"},
	}
	h := newHandler(host)
	tests := []struct {
		path   string
		status int
		want   string
	}{
		{"/health", 200, `{"ok":true}`},
		{"/ready", 200, `{"ok":true}`},
		{"/inventory", 200, `{"revision":7,"indexes":[{"name":"lookup"`},
		{"/rules", 200, `{"revision":7,"rules":{"extra":0`},
		{"/domains", 200, `"overrides":[{"domain":"a"`},
		{"/status", 200, `"storeseen":"2026-01-02T03:04:03Z"`},
		{"/history", 200, `{"entries":[]}`},
		{"/events?trace=q2", 200, `{"host":"host-1","events":[{"stamp":{"wall":"2026-01-02T03:04:06Z"`},
		{"/events?until=2026-01-02T03:04:05Z", 200, `"events":[]`},
		{"/events?since=today", 400, `"field":"since"`},
		{"/nothing", 404, `"code":"invalid","verdict":"not-run"`},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			if status, body := call(h, "GET", test.path, ""); status != test.status || !strings.Contains(body, test.want) {
				t.Errorf("answer: got %d %s, want %d and %s", status, body, test.status, test.want)
			}
		})
	}
	host.State.Ready, host.State.NotReadyReason = false, "no configuration"
	if status, body := call(h, "GET", "/ready", ""); status != 503 || !strings.Contains(body, "no configuration") {
		t.Errorf("ready: got %d %s, want 503 and the reason", status, body)
	}
	if status, body := call(h, "POST", "/drain", ""); status != 202 || host.DrainCalls != 1 {
		t.Errorf("drain: got %d %s and %d drains, want 202 and 1", status, body, host.DrainCalls)
	}
}

// TestClose guards against a listener or goroutine that outlives Close.
func TestClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	api := &administrator.Administrator{
		Address: simulator.ReservedAddress(), Token: token, Host: newFakeHost(),
		Meter: administrator.NewMeter(fixedClock{}), Logger: log.New(io.Discard),
	}
	if err := api.Run(); err != nil {
		t.Fatal(err)
	}
	response, err := http.Get("http://" + api.Address + "/health")
	if err != nil {
		t.Fatal(err)
	}
	var got encoder.Health
	err = json.NewDecoder(response.Body).Decode(&got)
	_ = response.Body.Close()
	if err != nil || !got.OK {
		t.Errorf("health: got %+v (%v), want ok", got, err)
	}
	http.DefaultClient.CloseIdleConnections()
	if err := api.Close(context.Background()); err != nil {
		t.Error(err)
	}
}
