package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"eelgrassproxy.example/node/logging"
	"eelgrassproxy.example/platform"
)

// logPatience bounds the time in which the last lines of the log are written at the end of the process.
const logPatience = 200 * time.Millisecond

// runPlatform runs the instance on the users' platform, whose settings file the environment names.
func runPlatform(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first, since the signal ends a process that does not expect it
	defer signal.Stop(reload)
	flags := flag.NewFlagSet("eelgrassproxy platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	check := flags.Bool("check-settings", false, "check the settings file and exit")
	verbosity := flags.Int("v", 0, "verbosity of the log")
	metricsPort := flags.Int("metrics-port", 0, "port of the metrics page, on the instance's own IP number; 0 serves none")
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	settings.MetricsPort = *metricsPort
	if *check {
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	log := logging.NewAsync(stdout)
	defer log.Close(logPatience)
	if err := logging.Setup(log, *verbosity); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if err := platform.Run(ctx, settings, reload, platform.SystemEnvironment()); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
