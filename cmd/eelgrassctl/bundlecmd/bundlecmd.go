// Package bundlecmd implements "eelgrassctl bundle": checking, comparing, signing and rolling bundles.
package bundlecmd

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"eelgrassproxy.example/core/bundle"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage means that the command line is wrong; the message was printed.
var errUsage = errors.New("wrong usage")

// command is one subcommand. run parses its own flags.
type command struct {
	name    string
	usage   string // arguments after the name
	summary string
	run     func(c *call) error
}

// call is one run of a subcommand.
type call struct {
	command *command
	flags   *flag.FlagSet
	args    []string
	stdout  io.Writer
	stderr  io.Writer
}

func commands() []command {
	return []command{
		{"check", "FILE", "read a bundle and report every problem", runCheck},
		{"diff", "OLD NEW", "list the changes between two bundles", runDiff},
		{"digest", "FILE", "print the generation and the digest that operators sign", runDigest},
		{"keygen", "-operator NAME -out DIR", "create a signing key", runKeygen},
		{"sign", "-key FILE -operator NAME FILE", "sign a bundle, writes FILE.NAME.sig", runSign},
		{"roll", "[-address URL] -token-file FILE [-seen N] FILE [SIGNATURE...]", "put a signed bundle in force", runRoll},
		{"set-caller", "[-address URL] -token-file FILE -operator NAME -key FILE -id ID -group GROUP -key-sha256 DIGEST [-disabled] [-retry N]",
			"add or change one caller in the bundle in force", runSetCaller},
		{"remove-caller", "[-address URL] -token-file FILE -operator NAME -key FILE -id ID [-retry N]",
			"remove one caller from the bundle in force", runRemoveCaller},
		{"status", "[-address URL] -token-file FILE", "show the generation in force at each instance", runStatus},
		{"history", "[-address URL] -token-file FILE", "list rolled generations, newest first", runHistory},
	}
}

// Run executes "eelgrassctl bundle ARGS" and returns the exit code: 0 done, 1 failed, 2 wrong usage.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printHelp(stderr)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printHelp(stdout)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return runCommand(&c, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "eelgrassctl bundle: unknown command %q\n", args[0])
	printHelp(stderr)
	return exitUsage
}

func runCommand(c *command, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("eelgrassctl bundle "+c.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: eelgrassctl bundle %s %s\n%s\n", c.name, c.usage, c.summary)
		flags.PrintDefaults()
	}
	err := c.run(&call{command: c, flags: flags, args: args, stdout: stdout, stderr: stderr})
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	fmt.Fprintf(stderr, "eelgrassctl bundle %s: %v\n", c.name, err)
	return exitFailed
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: eelgrassctl bundle COMMAND ...")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-14s %s\n                 %s\n", c.name, c.usage, c.summary)
	}
}

// parse reads the flags and requires between least and most arguments; a negative most sets no bound.
func (c *call) parse(least, most int) error {
	if err := c.flags.Parse(c.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if n := c.flags.NArg(); n < least || (most >= 0 && n > most) {
		return c.wrong("%d arguments given", n)
	}
	return nil
}

// wrong prints what is wrong with the command line.
func (c *call) wrong(format string, args ...any) error {
	fmt.Fprintf(c.stderr, "eelgrassctl bundle %s: %s\n", c.command.name, fmt.Sprintf(format, args...))
	c.flags.Usage()
	return errUsage
}

// required reports the first flag that is empty.
func (c *call) required(names ...string) error {
	for _, name := range names {
		if c.flags.Lookup(name).Value.String() == "" {
			return c.wrong("flag -%s is missing", name)
		}
	}
	return nil
}

// readDocument reads and parses a bundle and returns its text too.
func readDocument(path string) (*bundle.Document, []byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, bundle.MaxDocumentBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("read %s: %w", path, err)
	}
	doc, err := bundle.ParseYAML(text, path)
	return doc, text, err
}

// readValid also validates the bundle and returns its manifest.
func readValid(path string) (*bundle.Document, bundle.Manifest, []byte, error) {
	doc, text, err := readDocument(path)
	if err != nil {
		return nil, bundle.Manifest{}, nil, err
	}
	if err := doc.Validate(); err != nil {
		return nil, bundle.Manifest{}, nil, fmt.Errorf("%s: %w", path, err)
	}
	manifest, _, err := bundle.Split(doc)
	return doc, manifest, text, err
}
