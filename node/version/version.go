// Package version tells the version that both binaries print.
package version

import (
	"runtime"
	"runtime/debug"
)

// release is the version of the next release.
const release = "0.1.0"

// String returns the release with the Go version and, when the build recorded it, the revision.
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
