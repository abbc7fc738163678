// Package logging sets klog up to write JSON lines.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup sends klog's output to w as JSON lines.
func Setup(w io.Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return err
	}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})))
	return nil
}
