// Package jobcmd implements "eelgrassctl job": operators list, show and cancel batch jobs.
package jobcmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/cmd/eelgrassctl/operatorcmd"
)

// Exit codes.
const (
	exitOK    = 0
	exitUsage = 2
)

const help = `usage: eelgrassctl job COMMAND [ARGUMENTS]

  list     list the open jobs of the fleet, newest first
  show     show one job with the results recorded so far
  cancel   cancel a job; results recorded before stay readable

"eelgrassctl job COMMAND -h" describes a command.
`

// Run runs the command named by the first argument and returns the exit code: 0 done, 1 failed, 2 wrong usage.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, help)
		return exitUsage
	}
	switch args[0] {
	case "list":
		return list(ctx, args[1:], stdout, stderr)
	case "show":
		return show(ctx, args[1:], stdout, stderr)
	case "cancel":
		return cancel(ctx, args[1:], stdout, stderr)
	case "help", "-h", "-help", "--help":
		fmt.Fprint(stdout, help)
		return exitOK
	}
	fmt.Fprintf(stderr, "eelgrassctl job: unknown command %q\n\n%s", args[0], help)
	return exitUsage
}

func list(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := operatorcmd.NewConnection("job list", "", stderr)
	return c.Run(ctx, args, 0, stderr, func(ctx context.Context, client *operator.Client) error {
		table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "JOB\tCALLER\tENDPOINT\tITEMS\tCREATED\tDEADLINE")
		params := operator.ListJobsParams{}
		for {
			page, err := client.ListJobs(ctx, params)
			if err != nil {
				return err
			}
			for _, j := range page.Jobs {
				fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", j.ID, j.Caller, j.Endpoint, j.Items,
					j.Created.Format(time.RFC3339), j.Deadline.Format(time.RFC3339))
			}
			if !page.More || len(page.Jobs) == 0 {
				return table.Flush()
			}
			params.After.SetTo(page.Jobs[len(page.Jobs)-1].ID)
		}
	})
}

func show(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := operatorcmd.NewConnection("job show", " JOB", stderr)
	return c.Run(ctx, args, 1, stderr, func(ctx context.Context, client *operator.Client) error {
		job, err := client.GetJob(ctx, operator.GetJobParams{Job: c.Arg(0)})
		if err != nil {
			return err
		}
		return printJob(stdout, job)
	})
}

func cancel(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := operatorcmd.NewConnection("job cancel", " JOB", stderr)
	return c.Run(ctx, args, 1, stderr, func(ctx context.Context, client *operator.Client) error {
		job, err := client.CancelJob(ctx, operator.CancelJobParams{Job: c.Arg(0)})
		if err != nil {
			return err
		}
		return printJob(stdout, job)
	})
}

func printJob(out io.Writer, j *operator.Job) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("job", j.ID)
	row("state", j.State)
	row("caller", j.Caller)
	row("endpoint", j.Endpoint)
	row("file", j.File)
	row("shard", j.Shard)
	row("items", j.Items)
	row("completed", j.Completed)
	row("failed", j.Failed)
	row("unknown", j.Unknown)
	row("expired", j.Expired)
	row("created", j.Created.Format(time.RFC3339))
	row("deadline", j.Deadline.Format(time.RFC3339))
	if j.Finished.Set {
		row("finished", j.Finished.Value.Format(time.RFC3339))
	}
	return table.Flush()
}
