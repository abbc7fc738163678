package bundlecmd

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/cmd/eelgrassctl/operatorcmd"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

func runRoll(c *call) error {
	connection := c.connectionFlags()
	seen := c.flags.Int64("seen", -1, "generation that the bundle was made from; default the one before the bundle's")
	whole := c.flags.Bool("whole", false, "send the whole bundle even if a delta would do")
	if err := c.parse(1, -1); err != nil {
		return err
	}
	client, err := c.connect(connection)
	if err != nil {
		return err
	}
	next, err := c.readSigned(*seen)
	if err != nil {
		return err
	}
	request, err := next.request(context.Background(), c, client, *whole)
	if err != nil {
		return err
	}
	summary, err := client.RollBundle(context.Background(), request)
	if err != nil {
		return operatorcmd.Describe(err)
	}
	c.printRolled(summary)
	return nil
}

func (c *call) printRolled(summary *operator.BundleSummary) {
	fmt.Fprintf(c.stdout, "rolled generation %d, digest %s, signed by %s\n", summary.Generation, summary.Digest, strings.Join(summary.Signers, ", "))
}

// signedBundle is a bundle file with its signature files.
type signedBundle struct {
	text       []byte // YAML
	doc        *bundle.Document
	manifest   bundle.Manifest
	seen       fleet.Generation
	signatures []operator.Signature
}

// readSigned reads the bundle and its signature files, by default all files FILE.*.sig.
func (c *call) readSigned(seen int64) (*signedBundle, error) {
	path := c.flags.Arg(0)
	doc, manifest, text, err := readValid(path)
	if err != nil {
		return nil, err
	}
	if seen < 0 {
		seen = int64(manifest.Generation) - 1
	}
	files := c.flags.Args()[1:]
	if len(files) == 0 {
		if files, err = filepath.Glob(path + ".*" + signatureSuffix); err != nil {
			return nil, err
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no signature files %s.*%s", path, signatureSuffix)
	}
	out := &signedBundle{text: text, doc: doc, manifest: manifest, seen: fleet.Generation(seen)}
	for _, file := range files {
		signature, err := readSignature(file, manifest)
		if err != nil {
			return nil, err
		}
		out.signatures = append(out.signatures, signature)
	}
	return out, nil
}

// request returns a roll by delta if the instance has the seen generation in force and the change is small enough, otherwise one of
// the whole bundle, which every instance can take.
func (b *signedBundle) request(ctx context.Context, c *call, client *operator.Client, whole bool) (*operator.RollRequest, error) {
	request := &operator.RollRequest{SeenGeneration: int64(b.seen), Signatures: b.signatures}
	if !whole {
		delta, err := b.delta(ctx, client)
		if err == nil {
			request.Delta.SetTo(string(delta))
			return request, nil
		}
		fmt.Fprintf(c.stderr, "sending the whole bundle: %v\n", operatorcmd.Describe(err))
	}
	request.Document.SetTo(string(b.text))
	return request, nil
}

// delta returns the encoded difference to the bundle in force at the instance. Only the sections that differ are fetched.
func (b *signedBundle) delta(ctx context.Context, client *operator.Client) ([]byte, error) {
	manifest, _, err := fetch(ctx, client)
	if err != nil {
		return nil, err
	}
	if manifest.Generation != b.seen {
		return nil, fmt.Errorf("the instance has generation %d in force, not %d", manifest.Generation, b.seen)
	}
	own, sections, err := bundle.Split(b.doc)
	if err != nil {
		return nil, err
	}
	changed := bundle.ChangedSections(manifest, own)
	again, old, err := fetch(ctx, client, changed...)
	if err != nil {
		return nil, err
	}
	if again.Digest() != manifest.Digest() {
		return nil, fmt.Errorf("generation %d came in force meanwhile", again.Generation)
	}
	delta, err := bundle.DiffSections(manifest, own, old, sections)
	if err != nil {
		return nil, err
	}
	return encodeUnsigned(delta)
}

// encodeUnsigned returns the JSON of a delta without signatures, which travel beside it.
func encodeUnsigned(delta bundle.Delta) ([]byte, error) {
	delta.Signatures = nil
	return bundle.EncodeDelta(delta)
}

// fetch returns the manifest in force at the instance and the named sections by digest. The instance refuses a delta made from
// wrong sections, because the digests would not match.
func fetch(ctx context.Context, client *operator.Client, names ...string) (bundle.Manifest, bundle.Sections, error) {
	inForce, err := client.GetBundle(ctx, operator.GetBundleParams{Section: names})
	if err != nil {
		return bundle.Manifest{}, nil, err
	}
	manifest, err := bundle.ParseManifest(inForce.Manifest)
	if err != nil {
		return bundle.Manifest{}, nil, err
	}
	sections := bundle.Sections{}
	for _, s := range inForce.Sections {
		digest := manifest.Sections[s.Name]
		if err := bundle.CheckSection(digest, s.Content); err != nil {
			return bundle.Manifest{}, nil, err
		}
		sections[digest] = s.Content
	}
	return manifest, sections, nil
}
