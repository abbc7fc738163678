// Package soakcmd implements "eelgrassctl soak".
package soakcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"eelgrassproxy.example/platform/soak"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run plays seeded runs of the real programs with injected faults and reports broken promises. Exit code 1 means that there are some.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("eelgrassctl soak", flag.ContinueOnError)
	quotas := flags.Bool("quotas", false, "configure an account with a quota, whose clients send more than that")
	unframed := flags.Bool("unframed", false, "a part of the responses of targets have neither a length nor chunks and end with their connection")
	silences := flags.Duration("silences", 0, "how long sound targets fall silent now and then, beside planned work and changes of the configuration")
	crashes := flags.Duration("crashes", 0, "how long, after the planned work, some prompts have a part that crashes each target that begins to respond")
	flags.SetOutput(stderr)
	seed := flags.Uint64("seed", 1, "seed of the first run; further runs count on")
	runs := flags.Int("runs", 1, "number of runs")
	parallel := flags.Int("parallel", 3, "runs at a time, each with its own processes")
	faults := flags.Duration("faults", 10*time.Second, "how long faults are injected in a run")
	instances := flags.Int("instances", 4, fmt.Sprintf("instances of a run, %d at most; a fleet of more than 12 has a working set", soak.MaxHosts))
	domains := flags.Int("domains", 0, "failure domains; 0 means 3 for more than 12 instances, otherwise 1")
	regions := flags.Int("regions", 0, "regions; 0 means 2 for more than 2 failure domains, otherwise 1")
	targets := flags.Int("targets", 4, fmt.Sprintf("targets of a run, %d at most, divided between two services", soak.MaxTargets))
	binary := flags.String("binary", "bin/eelgrassproxy", "the program to run")
	folder := flags.String("folder", filepath.Join(os.TempDir(), "eelgrass-soak"), "folder for settings and logs")
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	if flags.NArg() > 0 || *runs < 1 || *parallel < 1 || *instances < 1 || *instances > soak.MaxHosts || *targets < 2 || *targets > soak.MaxTargets || *domains < 0 || *regions < 0 {
		flags.Usage()
		return exitUsage
	}
	var mu sync.Mutex // guards failed and the output
	failed := 0
	places := make(chan struct{}, *parallel)
	var group sync.WaitGroup
	for n := range *runs {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			o := soak.Options{
				Seed: *seed + uint64(n), Binary: *binary, Instances: *instances, Domains: *domains, Regions: *regions, Targets: *targets, Faults: *faults, Quotas: *quotas, Silences: *silences, Unframed: *unframed, Crashes: *crashes,
				Folder: filepath.Join(*folder, fmt.Sprint(*seed+uint64(n))),
			}
			report, err := soak.Run(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				fmt.Fprintf(stdout, "seed %d: %v\n", o.Seed, err)
				return
			}
			if len(report.Broken) > 0 {
				failed++
			}
			fmt.Fprint(stdout, report)
		})
	}
	group.Wait()
	fmt.Fprintf(stdout, "%d of %d runs broke a promise or could not be played\n", failed, *runs)
	if failed > 0 {
		return exitFailed
	}
	return exitOK
}
