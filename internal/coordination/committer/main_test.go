package committer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated cases, so that a failure repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
