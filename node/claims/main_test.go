package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed and 1,000 schedules unless the command line sets others, so that every run has the
// same result, and keeps rapid from writing files into the source tree. rapid's default of 100 schedules misses rare
// faults.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "1000")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
