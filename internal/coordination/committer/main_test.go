package committer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated cases, so that a failure repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
