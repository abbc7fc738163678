// Package version provides the version text that both binaries print.
package version

import (
	"runtime"
	"runtime/debug"
)

// release is the number of the next release.
const release = "0.1.0"

// String returns the release and the Go version, followed by the VCS revision if the build recorded it.
func String() string {
	text := release + " " + runtime.Version()
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text
}
