// Command stand2 plays the cases of the review that are scripts. It starts the project's own program as separate processes on loopback addresses,
// against the project's stand-ins of the store and of the replicas.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseTime bounds a case.
const caseTime = 115 * time.Second

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(folder string, trouble bool) (int, error){
	"smuggle":   smuggle,
	"bodies":    bodies,
	"jobs":      jobs,
	"countless": countless,
	"sockets":   sockets,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER, in the root of the repository")
		os.Exit(cannotRun)
	}
	time.AfterFunc(caseTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(cannotRun) // the processes that it started end with it
	})
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = cannotRun
	}
	os.Exit(code)
}
