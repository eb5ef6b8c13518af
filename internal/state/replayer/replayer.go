// Package replayer runs recorded traces and generated cases in the tests of the packages that
// make decisions.
package replayer

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// ReplayTraces replays each trace in testdata in a subtest. A trace is a JSON document of type
// T with times, inputs and expected outcomes.
func ReplayTraces[T any](t *testing.T, replay func(t *testing.T, trace T)) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("traces in testdata: got %d and error %v, want at least one", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var trace T
			if err := json.Unmarshal(data, &trace); err != nil {
				t.Fatal(err)
			}
			replay(t, trace)
		})
	}
}

// Main runs the tests of a package with a fixed seed for its generated cases, unless the
// command line sets another one, and prints the seed.
func Main(m *testing.M, seed uint64) {
	flag.Parse()
	rapidFlags := map[string]string{"rapid.nofailfile": "true"}
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		rapidFlags["rapid.seed"] = fmt.Sprint(seed)
	}
	for name, value := range rapidFlags {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid registers its flags in every package with generated cases.
		}
	}
	fmt.Println("seed of the generated cases:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
