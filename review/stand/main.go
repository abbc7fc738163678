// Command stand plays one case of the review: it starts eelgrassproxy as separate processes on loopback addresses, with stand-ins of the platform, of
// replicas and of clients, and judges what these saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record is what was sent, answered and run, with times since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// play is one case. trouble says whether the disruption takes place. It returns how the rule was broken, or "".
type play func(f *fleet, trouble bool) (broken string, err error)

var plays = map[string]play{
	"drain":   playDrain,
	"smuggle": playSmuggle,
	"endless": playEndless,
	"poison":  playPoison,
	"results": playResults,
	"stale":   playStale,
	"blocked": playBlocked,
	"slow":    playSlow,
	"homes":   playHomes,
	"oneslot": playOneSlot,
}

func main() {
	name := flag.String("play", "", "name of the play")
	folder := flag.String("folder", ".", "where record.txt is written")
	root := flag.String("root", "", "root of the repository")
	flag.Parse()
	os.Exit(run(*name, *folder, *root, os.Getenv("TROUBLE") != "0"))
}

func run(name, folder, root string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println(temporary)
	}
	f, err := newFleet(filepath.Join(root, "target", "eelgrassproxy"), root, temporary, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.stop()
	rec.add("play %s, trouble %v", name, trouble)
	broken, err := plays[name](f, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
