package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, unless the command line has one, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260417")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
