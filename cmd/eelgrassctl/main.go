// Command eelgrassctl is the command line of operators and new users.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"eelgrassproxy.example/cmd/eelgrassctl/bundlecmd"
	"eelgrassproxy.example/cmd/eelgrassctl/democmd"
	"eelgrassproxy.example/cmd/eelgrassctl/jobcmd"
	"eelgrassproxy.example/cmd/eelgrassctl/operatorcmd"
	"eelgrassproxy.example/cmd/eelgrassctl/soakcmd"
	"eelgrassproxy.example/cmd/eelgrassctl/standincmd"
	"eelgrassproxy.example/node/version"
)

// Exit codes.
const (
	exitOK    = 0
	exitUsage = 2
)

const help = `usage: eelgrassctl COMMAND [ARGUMENTS]

  bundle    check, compare, sign and roll bundles
  status    show the fleet as an instance sees it
  explain   print the decisions about a request
  job       list, show and cancel batch jobs
  demo      run a whole sample fleet in one process on loopback
  standin   run one stand-in of the platform or of a target
  soak      run real processes on loopback, inject faults, and check the promises
  version   print the version
  help      print this text

"eelgrassctl COMMAND -h" describes a command.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, help)
		return exitUsage
	}
	switch args[0] {
	case "bundle":
		return bundlecmd.Run(args[1:], stdout, stderr)
	case "status":
		return operatorcmd.Status(ctx, args[1:], stdout, stderr)
	case "explain":
		return operatorcmd.Explain(ctx, args[1:], stdout, stderr)
	case "job":
		return jobcmd.Run(ctx, args[1:], stdout, stderr)
	case "demo":
		return democmd.Run(ctx, args[1:], stdout, stderr)
	case "standin":
		return standincmd.Run(ctx, args[1:], stdout, stderr)
	case "soak":
		return soakcmd.Run(ctx, args[1:], stdout, stderr)
	case "version", "-version", "--version":
		fmt.Fprintln(stdout, "eelgrassctl", version.String())
		return exitOK
	case "help", "-h", "-help", "--help":
		fmt.Fprint(stdout, help)
		return exitOK
	default:
		fmt.Fprintf(stderr, "eelgrassctl: unknown command %q\n\n%s", args[0], help)
		return exitUsage
	}
}
