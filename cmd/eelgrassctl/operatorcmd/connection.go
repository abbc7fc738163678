package operatorcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"eelgrassproxy.example/api/operator"
)

// callTimeout bounds one call; explain waits for all instances.
const callTimeout = 10 * time.Second

// DefaultAddress is the operators' listener of the first instance of the sample fleet.
const DefaultAddress = "http://127.0.0.1:8082"

// ErrNoToken means that the flag -token-file is missing.
var ErrNoToken = errors.New("flag -token-file is missing")

// token supplies the operator's bearer token to the generated client.
type token string

// Bearer implements the generated security source.
func (t token) Bearer(context.Context, operator.OperationName, *operator.Client) (operator.Bearer, error) {
	return operator.Bearer{Token: string(t)}, nil
}

// Connection holds the flags that all commands share which call an instance's operators' listener.
type Connection struct {
	flags     *flag.FlagSet
	address   *string
	tokenFile *string
	timeout   *time.Duration
}

// NewConnection returns the flags of the named command. arguments is the text of its arguments in the usage line.
func NewConnection(name, arguments string, stderr io.Writer) *Connection {
	flags := flag.NewFlagSet("eelgrassctl "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: eelgrassctl %s [-address URL] -token-file FILE%s\n", name, arguments)
		flags.PrintDefaults()
	}
	return AddFlags(flags, callTimeout)
}

// AddFlags adds the flags of a connection to a command's own; timeout is the default bound of one call.
func AddFlags(flags *flag.FlagSet, timeout time.Duration) *Connection {
	return &Connection{
		flags:     flags,
		address:   flags.String("address", DefaultAddress, "`URL` of an instance's operators' listener"),
		tokenFile: flags.String("token-file", "", "`file` with the operator's bearer token (required)"),
		timeout:   flags.Duration("timeout", timeout, "longest wait for one response"),
	}
}

// Client returns a client by the parsed flags, or ErrNoToken.
func (c *Connection) Client() (*operator.Client, error) {
	if *c.tokenFile == "" {
		return nil, ErrNoToken
	}
	raw, err := os.ReadFile(*c.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("-token-file: %w", err)
	}
	bearer := token(strings.TrimSpace(string(raw)))
	return operator.NewClient(*c.address, bearer, operator.WithClient(&http.Client{Timeout: *c.timeout}))
}

// Arg returns an argument behind the flags; call it in the do of Run.
func (c *Connection) Arg(i int) string { return c.flags.Arg(i) }

// Run parses the arguments, of which count must follow the flags, and calls do with a client; it returns the exit code.
func (c *Connection) Run(ctx context.Context, args []string, count int, stderr io.Writer, do func(context.Context, *operator.Client) error) int {
	if err := c.flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if c.flags.NArg() != count || *c.tokenFile == "" {
		c.flags.Usage()
		return exitUsage
	}
	client, err := c.Client()
	if err == nil {
		err = do(ctx, client)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", c.flags.Name(), Describe(err))
		return exitFailed
	}
	return exitOK
}

// Describe turns a typed error of the API into a message for the operator. Other errors stay as they are.
func Describe(err error) error {
	var status *operator.ErrorStatusCode
	if !errors.As(err, &status) {
		return err
	}
	detail := status.Response.Error
	if generation, ok := detail.Generation.Get(); ok {
		return fmt.Errorf("%s (%s, generation %d is in force)", detail.Message, detail.Code, generation)
	}
	return fmt.Errorf("%s (%s)", detail.Message, detail.Code)
}
