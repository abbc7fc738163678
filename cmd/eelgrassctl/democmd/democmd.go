// Package democmd implements "eelgrassctl demo": a whole sample fleet in one process on loopback.
package democmd

import (
	"bytes"
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
	items, err := writeItems(folder, d.Model)
	if err != nil {
		return err
	}
	printHelp(stdout, f, folder, items)
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

// sampleItems is the number of items of the sample batch.
const sampleItems = 100

// writeItems writes a batch file to try and returns its name.
func writeItems(folder, model string) (string, error) {
	var lines bytes.Buffer
	for n := range sampleItems {
		fmt.Fprintf(&lines, `{"custom_id":"ticket-%d","method":"POST","url":"/v1/chat/completions",`+
			`"body":{"model":%q,"max_tokens":20,"messages":[{"role":"user","content":"Quote for repair ticket %d"}]}}`+"\n", n, model, n)
	}
	name := filepath.Join(folder, "items.jsonl")
	return name, os.WriteFile(name, lines.Bytes(), 0o600)
}

func printHelp(out io.Writer, f *fleet.Fleet, folder, items string) {
	first := f.Instances[0].Settings.Listen
	fmt.Fprintf(out, `The %[1]s sample fleet runs: %[2]d instances, %[3]d engines, settings and log in %[4]s

Stream an answer:
  curl -N http://%[5]s/v1/chat/completions -H 'Authorization: Bearer %[6]s' -H 'X-Request-Id: first' -H 'Content-Type: application/json' \
    -d '{"model":"%[7]s","stream":true,"messages":[{"role":"user","content":"Which plug fits a two-core flex?"}]}'

Call a service operation that runs at most once:
  curl http://%[5]s/v1/services/%[8]s/%[9]s -H 'Authorization: Bearer %[6]s' -H 'Idempotency-Key: quote-1' -H 'Content-Type: application/json' -d '{"lamp":"brass"}'

Submit a batch of sample items, put in the ids that the answers have, and read the results:
  curl http://%[5]s/v1/files -H 'Authorization: Bearer %[6]s' -F purpose=batch -F file=@%[10]s
  curl http://%[5]s/v1/batches -H 'Authorization: Bearer %[6]s' -H 'Content-Type: application/json' \
    -d '{"input_file_id":"FILE_ID","endpoint":"/v1/chat/completions","completion_window":"24h"}'
  curl http://%[5]s/v1/batches/BATCH_ID/output -H 'Authorization: Bearer %[6]s'

Ask which instances to use:
  curl http://%[5]s/v1/entrypoints -H 'Authorization: Bearer %[6]s'

Look at the fleet, and at the decisions about the first request:
  eelgrassctl status -address http://%[11]s -token-file %[12]s
  eelgrassctl explain -address http://%[11]s -token-file %[12]s first

Stop with Ctrl-C.
`,
		f.Deployment.Name, len(f.Instances), len(f.Engines), folder, first.Callers, fleet.APIKey, f.Deployment.Model,
		f.Deployment.Service, fleet.IssueOperation, items, first.Operators, filepath.Join(folder, "operator.token"))
}
