// Package democmd implements "eelgrassctl demo": a whole sample fleet in one process on loopback.
package democmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"eelgrassproxy.example/node/logging"
	"eelgrassproxy.example/standin/fleet"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// readyTimeout bounds the wait for the sample bundle to be in force at all instances.
const readyTimeout = 30 * time.Second

// Run starts the fleet, prints how to use it, and stops it when ctx ends.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("eelgrassctl demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	deployment := flags.String("deployment", "draadwerk", "draadwerk or norrsken")
	instances := flags.Int("instances", 8, "number of entry instances")
	folder := flags.String("folder", "", "folder for settings, tokens and logs; empty means a temporary one")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	chosen, ok := map[string]fleet.Deployment{"draadwerk": fleet.Draadwerk(), "norrsken": fleet.Norrsken()}[*deployment]
	if !ok || *instances < 1 {
		flags.Usage()
		return exitUsage
	}
	if err := run(ctx, chosen, *instances, *folder, stdout); err != nil {
		fmt.Fprintln(stderr, "eelgrassctl demo:", err)
		return exitFailed
	}
	return exitOK
}

func run(ctx context.Context, d fleet.Deployment, instances int, folder string, stdout io.Writer) error {
	if folder == "" {
		temporary, err := os.MkdirTemp("", "eelgrassproxy-demo-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	}
	log, err := os.Create(filepath.Join(folder, "fleet.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	if err := logging.Setup(log, 0); err != nil {
		return err
	}
	f, err := fleet.Start(fleet.Options{Deployment: d, Network: fleet.NewLoopback(), Instances: instances, Folder: folder})
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := prepare(ctx, f, folder); err != nil {
		return err
	}
	printHelp(stdout, f, folder)
	<-ctx.Done()
	return nil
}

// prepare rolls the sample bundle and waits until it is in force everywhere.
func prepare(ctx context.Context, f *fleet.Fleet, folder string) error {
	if err := os.WriteFile(filepath.Join(folder, "operator.token"), []byte(fleet.OperatorToken), 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Roll(ctx, f.Deployment.Document(1)); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

func printHelp(out io.Writer, f *fleet.Fleet, folder string) {
	first := f.Instances[0].Settings.Listen
	fmt.Fprintf(out, `The %s sample fleet runs: %d instances, %d engines, settings and log in %s

Stream an answer:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'X-Request-Id: first' -H 'Content-Type: application/json' \
    -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which plug fits a two-core flex?"}]}'

Call a service operation that runs at most once:
  curl http://%s/v1/services/%s/%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: quote-1' -H 'Content-Type: application/json' -d '{"lamp":"brass"}'

Ask which instances to use:
  curl http://%s/v1/entrypoints -H 'Authorization: Bearer %s'

Look at the fleet, and at the decisions about the first request:
  eelgrassctl status -address http://%s -token-file %s
  eelgrassctl explain -address http://%s -token-file %s first

Stop with Ctrl-C.
`,
		f.Deployment.Name, len(f.Instances), len(f.Engines), folder,
		first.Callers, fleet.APIKey, f.Deployment.Model,
		first.Callers, f.Deployment.Service, fleet.IssueOperation, fleet.APIKey,
		first.Callers, fleet.APIKey,
		first.Operators, filepath.Join(folder, "operator.token"),
		first.Operators, filepath.Join(folder, "operator.token"))
}
