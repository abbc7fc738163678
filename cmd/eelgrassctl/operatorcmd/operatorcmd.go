// Package operatorcmd implements the commands that ask an instance's operators' listener: status and explain.
package operatorcmd

import (
	"context"
	"fmt"
	"io"
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
