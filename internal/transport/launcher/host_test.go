package launcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/lister"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

// TestHosts guards against a failure anywhere on the path from a caller through two hosts to
// the targets, and against goroutines that outlive Close.
func TestHosts(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := httptest.NewServer(&simulator.Store{})
	defer store.Close()
	list := &simulator.HostList{}
	hosts := httptest.NewServer(list)
	defer hosts.Close()
	config := wigeonspindle.Config{Domains: []wigeonspindle.Domain{{Name: "a"}, {Name: "b"}}}
	index := wigeonspindle.Index{Name: "lookup", Preference: wigeonspindle.PreferCoverage, Snapshots: []wigeonspindle.Snapshot{{Version: "v1"}}}
	for i := range 8 {
		shard := fmt.Sprintf("s%d", i)
		index.Snapshots[0].Shards = append(index.Snapshots[0].Shards, shard)
		for _, domain := range []string{"a", "b"} {
			target := httptest.NewServer(&simulator.Target{Slots: 2, Snapshots: []string{"v1"}, ServiceTime: time.Millisecond})
			defer target.Close()
			index.Targets = append(index.Targets, wigeonspindle.Target{
				Name: shard + domain, Address: serverAddress(target), Domain: domain, Shards: []string{shard},
				Slots: 2, Connections: 50, Floor: 10,
			})
		}
	}
	config.Indexes = []wigeonspindle.Index{index}
	seedConfig(t, &storer.Storer{Address: serverAddress(store)}, config)
	var running []*launcher.Host
	var listings []wigeonspindle.ListedHost
	for _, domain := range []string{"a", "b"} {
		settings := parser.Settings{
			Name: "host-" + domain, Domain: domain, Cell: "main", CallerAddress: simulator.ReservedAddress(), LinkAddress: simulator.ReservedAddress(), Workers: 2,
		}
		host := &launcher.Host{
			Settings: settings, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard),
			Store: &storer.Storer{Address: serverAddress(store)}, Lister: &lister.Lister{Address: serverAddress(hosts)},
			Sender: &sender.Sender{Clock: timekeeper.SystemClock{}},
		}
		listings = append(listings, wigeonspindle.ListedHost{Name: settings.Name, LinkAddress: settings.LinkAddress})
		running = append(running, host)
	}
	list.Set(listings)
	for _, host := range running {
		if err := host.Run(); err != nil {
			t.Fatal(err)
		}
	}
	got := queryUntilCovered(t, running[0].Settings.CallerAddress, 8)
	want := wigeonspindle.Coverage{Answered: 8, Total: 8}
	if got.Coverage.Answered != want.Answered || got.Coverage.Total != want.Total {
		t.Errorf("coverage: got %+v, want %+v", got.Coverage, want)
	}
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range running {
		_ = host.Close(stopped)
		_ = host.Sender.(*sender.Sender).Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// queryUntilCovered repeats a query until the answer covers a number of shards, because the
// hosts may not know the configuration and the owners yet. It returns the last answer.
func queryUntilCovered(t *testing.T, host string, shards int) wigeonspindle.Answer {
	t.Helper()
	var answer wigeonspindle.Answer
	for range 100 {
		var err error
		if answer, err = postQuery(host); err != nil {
			t.Fatal(err)
		}
		if answer.Coverage.Answered == shards {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return answer
}

// postQuery sends one query over HTTP.
func postQuery(host string) (wigeonspindle.Answer, error) {
	var answer wigeonspindle.Answer
	body, err := json.Marshal(encoder.QueryRequest{Index: "lookup", Body: "wool", Budget: wigeonspindle.Duration(time.Second)})
	if err != nil {
		return answer, err
	}
	response, err := http.Post("http://"+host+"/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// seedConfig writes the first configuration in the same way as an operator's change.
func seedConfig(t testing.TB, store wigeonspindle.Store, config wigeonspindle.Config) {
	t.Helper()
	config.Rules = validator.DefaultRules()
	c := &committer.Committer{Store: store, Codec: encoder.JSONCodec{}, Validator: validator.New()}
	change := wigeonspindle.ConfigChange{Identity: "seed", Author: "test", Config: config}
	if _, _, err := c.Commit(t.Context(), committer.Proposal{Change: change, Now: time.Now()}); err != nil {
		t.Fatal(err)
	}
}

func serverAddress(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
