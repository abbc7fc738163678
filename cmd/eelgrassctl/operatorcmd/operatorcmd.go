// Package operatorcmd implements the commands that ask an instance's operators' listener: status and explain.
package operatorcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"eelgrassproxy.example/api/operator"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// callTimeout bounds one call; explain waits for all instances.
const callTimeout = 10 * time.Second

// DefaultAddress is the operators' listener of the first instance of the sample fleet.
const DefaultAddress = "http://127.0.0.1:8082"

type token string

// Bearer implements the generated security source.
func (t token) Bearer(context.Context, operator.OperationName, *operator.Client) (operator.Bearer, error) {
	return operator.Bearer{Token: string(t)}, nil
}

// Connection holds the flags that all commands share which call an instance's operators' listener.
type Connection struct {
	flags     *flag.FlagSet
	address   *string
	tokenFile *string
}

// NewConnection returns the flags of the named command. arguments is the text of its arguments in the usage line.
func NewConnection(name, arguments string, stderr io.Writer) *Connection {
	flags := flag.NewFlagSet("eelgrassctl "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: eelgrassctl %s [-address URL] -token-file FILE%s\n", name, arguments)
		flags.PrintDefaults()
	}
	return &Connection{
		flags:     flags,
		address:   flags.String("address", DefaultAddress, "URL of an instance's operators' listener"),
		tokenFile: flags.String("token-file", "", "file with the operator's bearer token (required)"),
	}
}

func (c *Connection) client() (*operator.Client, error) {
	raw, err := os.ReadFile(*c.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("-token-file: %w", err)
	}
	return operator.NewClient(*c.address, token(strings.TrimSpace(string(raw))))
}

// Arg returns an argument behind the flags; call it in the do of Run.
func (c *Connection) Arg(i int) string { return c.flags.Arg(i) }

// Run parses the arguments, of which count must follow the flags, and calls do with a client; it returns the exit code.
func (c *Connection) Run(ctx context.Context, args []string, count int, stderr io.Writer, do func(context.Context, *operator.Client) error) int {
	if err := c.flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if c.flags.NArg() != count || *c.tokenFile == "" {
		c.flags.Usage()
		return exitUsage
	}
	client, err := c.client()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = do(ctx, client)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", c.flags.Name(), describe(err))
		return exitFailed
	}
	return exitOK
}

func describe(err error) string {
	var status *operator.ErrorStatusCode
	if errors.As(err, &status) {
		return fmt.Sprintf("%s (%s)", status.Response.Error.Message, status.Response.Error.Code)
	}
	return err.Error()
}

// Status runs "eelgrassctl status".
func Status(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := NewConnection("status", "", stderr)
	return c.Run(ctx, args, 0, stderr, func(ctx context.Context, client *operator.Client) error {
		status, err := client.GetStatus(ctx)
		if err != nil {
			return err
		}
		return printStatus(stdout, status)
	})
}

func printStatus(out io.Writer, s *operator.Status) error {
	store := "reachable"
	if !s.StoreAvailable {
		store = "unavailable"
	}
	fmt.Fprintf(out, "seen by %s: bundle generation %d, store %s\n\n", s.Instance, s.Generation, store)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tADDRESS\tFAILURE DOMAIN\tSTATE\tGENERATION")
	for _, i := range s.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", i.ID, i.Address, i.FailureDomain, i.State, i.Generation)
	}
	fmt.Fprintln(table, "\nTARGET\tADDRESS\tFAILURE DOMAIN\tSTATE\tRUNNING\tWAITING\tIN FLIGHT HERE\tSERVES")
	for _, t := range s.Targets {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			t.ID, t.Address, t.FailureDomain, t.State, t.Running, t.Waiting, t.InFlight, strings.Join(t.Models, " "))
	}
	return table.Flush()
}

// Explain runs "eelgrassctl explain REQUEST-ID".
func Explain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := NewConnection("explain", " REQUEST-ID", stderr)
	return c.Run(ctx, args, 1, stderr, func(ctx context.Context, client *operator.Client) error {
		list, err := client.ExplainRequest(ctx, operator.ExplainRequestParams{RequestID: c.Arg(0)})
		if err != nil {
			return err
		}
		for _, d := range list.Decisions {
			printDecision(stdout, d)
		}
		return nil
	})
}

func printDecision(out io.Writer, d operator.Decision) {
	fmt.Fprintf(out, "%s %s %-9s %s", d.At.Format(time.RFC3339Nano), d.Instance, d.Kind, d.Reason)
	if d.Target.Set {
		fmt.Fprintf(out, " -> %s", d.Target.Value)
	}
	fmt.Fprintln(out)
	for _, c := range d.Candidates {
		if c.Rejected.Set {
			fmt.Fprintf(out, "    %-16s rejected: %s\n", c.Target, c.Rejected.Value)
			continue
		}
		fmt.Fprintf(out, "    %-16s score %.3f\n", c.Target, c.Score.Value)
	}
}
