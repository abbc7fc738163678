package bundlecmd

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/cmd/eelgrassctl/operatorcmd"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// Wait before a change is made again on a new generation: it doubles up to the longest one and is jittered. An instance that lost
// a race has the winner's generation within 3 s.
const (
	firstRetryWait = 100 * time.Millisecond
	maxRetryWait   = 3 * time.Second
)

// errUnchanged means that the bundle in force already is as wished.
var errUnchanged = errors.New("nothing to change")

// signer is one operator with the private key.
type signer struct {
	operator string
	key      ed25519.PrivateKey
}

// callerChange is one change of one caller.
type callerChange struct {
	id      fleet.CallerID
	caller  *bundle.Caller // nil removes the caller
	signers []signer
}

// changeFlags are the flags that set-caller and remove-caller share.
type changeFlags struct {
	connection *operatorcmd.Connection
	id         *string
	operators  []string
	keys       []string
	retry      *int
}

func (c *call) changeFlags() *changeFlags {
	f := &changeFlags{connection: c.connectionFlags()}
	f.id = c.flags.String("id", "", "`id` of the caller")
	f.retry = c.flags.Int("retry", 0, "how often to make the change again on a new generation after losing a race")
	c.flags.Func("operator", "`name` of an operator who signs; repeat it with -key for each", appendTo(&f.operators))
	c.flags.Func("key", "`file` with the private key of the operator named at the same place", appendTo(&f.keys))
	return f
}

func appendTo(list *[]string) func(string) error {
	return func(value string) error {
		*list = append(*list, value)
		return nil
	}
}

func (c *call) signers(f *changeFlags) ([]signer, error) {
	if len(f.keys) == 0 || len(f.keys) != len(f.operators) {
		return nil, c.wrong("%d flags -operator and %d flags -key given, one of each for each signature", len(f.operators), len(f.keys))
	}
	var out []signer
	for i, path := range f.keys {
		key, err := readKey(path)
		if err != nil {
			return nil, err
		}
		out = append(out, signer{operator: f.operators[i], key: key})
	}
	return out, nil
}

func runSetCaller(c *call) error {
	f := c.changeFlags()
	group := c.flags.String("group", "", "`group` of the caller")
	key := c.flags.String("key-sha256", "", "hexadecimal `digest` of the caller's API key")
	disabled := c.flags.Bool("disabled", false, "refuse the caller's requests")
	if err := c.parse(0, 0); err != nil {
		return err
	}
	if err := c.required("id", "group", "key-sha256"); err != nil {
		return err
	}
	id := fleet.CallerID(*f.id)
	return c.runChange(f, callerChange{id: id, caller: &bundle.Caller{ID: id, Group: *group, KeySHA256: *key, Disabled: *disabled}})
}

func runRemoveCaller(c *call) error {
	f := c.changeFlags()
	if err := c.parse(0, 0); err != nil {
		return err
	}
	if err := c.required("id"); err != nil {
		return err
	}
	return c.runChange(f, callerChange{id: fleet.CallerID(*f.id)})
}

// runChange rolls the change; after a lost race it makes it again on the generation then in force, as often as -retry says.
func (c *call) runChange(f *changeFlags, change callerChange) error {
	signers, err := c.signers(f)
	if err != nil {
		return err
	}
	change.signers = signers
	client, err := c.connect(f.connection)
	if err != nil {
		return err
	}
	wait := firstRetryWait
	for attempt := 0; ; attempt++ {
		summary, err := change.roll(context.Background(), client)
		if errors.Is(err, errUnchanged) {
			fmt.Fprintln(c.stdout, errUnchanged)
			return nil
		}
		if err == nil {
			c.printRolled(summary)
			return nil
		}
		if attempt == *f.retry || !lostRace(err) {
			return operatorcmd.Describe(err)
		}
		fmt.Fprintf(c.stderr, "trying again: %v\n", operatorcmd.Describe(err))
		time.Sleep(wait/2 + rand.N(wait))
		wait = min(2*wait, maxRetryWait)
	}
}

// lostRace tells whether the change certainly had no effect and may do on the next generation.
func lostRace(err error) bool {
	var typed *operator.ErrorStatusCode
	if !errors.As(err, &typed) {
		return false
	}
	code := typed.Response.Error.Code
	return code == "conflict" || code == "behind"
}

// roll makes the change on the generation in force at the instance. It holds the manifest and one section of the bundle.
func (ch callerChange) roll(ctx context.Context, client *operator.Client) (*operator.BundleSummary, error) {
	manifest, sections, err := fetch(ctx, client, bundle.CallerSectionOf(ch.id))
	if err != nil {
		return nil, err
	}
	delta, next, err := bundle.CallerDelta(manifest, sections, ch.id, ch.caller)
	if err != nil {
		return nil, err
	}
	if delta.To == 0 {
		return nil, errUnchanged
	}
	encoded, err := encodeUnsigned(delta)
	if err != nil {
		return nil, err
	}
	request := &operator.RollRequest{SeenGeneration: int64(manifest.Generation), Delta: operator.NewOptString(string(encoded))}
	for _, s := range ch.signers {
		signature := bundle.Sign(next.Bytes(), s.operator, s.key)
		request.Signatures = append(request.Signatures, operator.Signature{Operator: signature.Operator, Signature: signature.Signature})
	}
	return client.RollBundle(ctx, request)
}
