package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/bundle"
)

// operatorToken is the bearer token of the sample operator.
type operatorToken struct{}

// Bearer implements the generated security source.
func (operatorToken) Bearer(context.Context, operator.OperationName, *operator.Client) (operator.Bearer, error) {
	return operator.Bearer{Token: OperatorToken}, nil
}

// idleTimeout closes idle connections of the fleet's clients. A silent connection would otherwise stay open for good.
const idleTimeout = time.Minute

// HTTPClient returns a client that dials as the named part.
func (f *Fleet) HTTPClient(part string) *http.Client {
	transport := &http.Transport{DialContext: f.Network.Dial(part), DisableCompression: true, IdleConnTimeout: idleTimeout}
	return &http.Client{Transport: transport}
}

// Operator returns a client of the instance's operators' listener.
func (f *Fleet) Operator(i *Instance) (*operator.Client, error) {
	return operator.NewClient("http://"+i.Settings.Listen.Operators, operatorToken{}, operator.WithClient(f.HTTPClient("operator")))
}

// Roll signs the document as the sample operator and rolls it through the first instance, from the generation before it.
func (f *Fleet) Roll(ctx context.Context, doc *bundle.Document) error {
	client, err := f.Operator(f.Instances[0])
	if err != nil {
		return err
	}
	signed, _, err := Signed(doc)
	if err != nil {
		return err
	}
	text, err := yaml.Marshal(doc)
	if err != nil {
		return eris.Wrap(err, "encode bundle")
	}
	_, err = client.RollBundle(ctx, &operator.RollRequest{
		SeenGeneration: int64(doc.Generation - 1),
		Document:       operator.NewOptString(string(text)),
		Signatures:     []operator.Signature{{Operator: signed.Signatures[0].Operator, Signature: signed.Signatures[0].Signature}},
	})
	return err
}

// CallerChange is a signed change of one caller on the bundle in force at an instance, as operators' tools send it.
type CallerChange struct {
	instance *Instance
	request  *operator.RollRequest
}

// PrepareCaller makes the change that adds or replaces the caller in the bundle in force at the instance.
func (f *Fleet) PrepareCaller(ctx context.Context, i *Instance, caller bundle.Caller) (*CallerChange, error) {
	client, err := f.Operator(i)
	if err != nil {
		return nil, err
	}
	name := bundle.CallerSectionOf(caller.ID)
	inForce, err := client.GetBundle(ctx, operator.GetBundleParams{Section: []string{name}})
	if err != nil {
		return nil, err
	}
	manifest, err := bundle.ParseManifest(inForce.Manifest)
	if err != nil {
		return nil, err
	}
	sections := bundle.Sections{}
	for _, s := range inForce.Sections {
		sections[manifest.Sections[s.Name]] = s.Content
	}
	delta, next, err := bundle.CallerDelta(manifest, sections, caller.ID, &caller)
	if err != nil {
		return nil, err
	}
	encoded, err := bundle.EncodeDelta(delta)
	if err != nil {
		return nil, err
	}
	signature := bundle.Sign(next.Bytes(), Operator, OperatorKey())
	return &CallerChange{instance: i, request: &operator.RollRequest{
		SeenGeneration: int64(manifest.Generation),
		Delta:          operator.NewOptString(string(encoded)),
		Signatures:     []operator.Signature{{Operator: signature.Operator, Signature: signature.Signature}},
	}}, nil
}

// RollCaller rolls a prepared change and returns the generation that it made.
func (f *Fleet) RollCaller(ctx context.Context, change *CallerChange) (int64, error) {
	client, err := f.Operator(change.instance)
	if err != nil {
		return 0, err
	}
	summary, err := client.RollBundle(ctx, change.request)
	if err != nil {
		return 0, err
	}
	return summary.Generation, nil
}

// Digest returns the key_sha256 of an API key.
func Digest(apiKey string) string { return digest(apiKey) }

// readyPoll is how often AwaitReady looks at the instances.
const readyPoll = 20 * time.Millisecond

// AwaitReady returns when every instance has a bundle in force and knows its engines and peers.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "fleet did not become ready")
		case <-time.After(readyPoll):
		}
	}
}

func (f *Fleet) ready() bool {
	for _, i := range f.Instances {
		board := i.Daemon.Board()
		if i.Daemon.Ready() != nil || len(board.Members.All()) < len(f.Instances) {
			return false
		}
		known := 0
		for _, t := range board.Targets.All() {
			if t.Models != nil || t.Service != "" {
				known++
			}
		}
		if known < len(f.Engines)+len(f.Services) {
			return false
		}
	}
	return true
}
