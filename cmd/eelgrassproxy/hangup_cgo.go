//go:build cgo && unix

package main

/*
#include <signal.h>

// The default action of SIGHUP ends the process until the Go runtime has started, all packages are initialized and main asks for the signal, which
// takes tens of milliseconds on a busy machine. A constructor runs before all of that. The runtime leaves an ignored SIGHUP ignored until then.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
