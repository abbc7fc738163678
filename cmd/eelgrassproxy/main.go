// Command eelgrassproxy runs one instance of the serving system.
//
// Exit codes: 0 after a graceful shutdown or a successful check, 1 when the instance cannot run, 2 for wrong usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"eelgrassproxy.example/node/daemon"
	"eelgrassproxy.example/node/logging"
	"eelgrassproxy.example/node/settings"
	"eelgrassproxy.example/node/version"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "platform" {
		return runPlatform(ctx, args[1:], stdout, stderr)
	}
	flags := flag.NewFlagSet("eelgrassproxy", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file in YAML (required)")
	check := flags.Bool("check-settings", false, "check the settings file and exit")
	showVersion := flags.Bool("version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	if *showVersion {
		fmt.Fprintln(stdout, "eelgrassproxy", version.String())
		return exitOK
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: eelgrassproxy -settings FILE [-check-settings]")
		return exitUsage
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", *file)
		return exitOK
	}
	return serve(ctx, s, stderr)
}

func serve(ctx context.Context, s *settings.Settings, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP) // of the terminal; there is nothing to reload
	defer stop()
	if err := logging.Setup(stderr, s.Log.Verbosity); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	d, err := daemon.New(s, daemon.SystemEnvironment())
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
