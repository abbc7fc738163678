// Package logging configures klog to write JSON lines.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup makes klog write its output to w as JSON lines. Messages up to the verbosity (klog's -v) are written.
func Setup(w io.Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return err
	}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})))
	return nil
}
