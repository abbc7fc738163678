package bundlecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/bundle"
)

// defaultTimeout bounds one call to the operators' listener; a first roll of 44,000 callers writes several transactions.
const defaultTimeout = 30 * time.Second

// connection holds the flags of commands that call an instance.
type connection struct {
	address   *string
	tokenFile *string
	timeout   *time.Duration
}

func (c *call) connectionFlags() connection {
	return connection{
		address:   c.flags.String("address", "", "`URL` of an instance's operators' listener"),
		tokenFile: c.flags.String("token-file", "", "`file` with the operator's bearer token"),
		timeout:   c.flags.Duration("timeout", defaultTimeout, "longest wait for the response"),
	}
}

// bearer supplies the operator's token to the generated client.
type bearer string

// Bearer implements operator.SecuritySource.
func (b bearer) Bearer(context.Context, operator.OperationName, *operator.Client) (operator.Bearer, error) {
	return operator.Bearer{Token: string(b)}, nil
}

func (c *call) connect(flags connection) (*operator.Client, error) {
	if err := c.required("address", "token-file"); err != nil {
		return nil, err
	}
	token, err := os.ReadFile(*flags.tokenFile)
	if err != nil {
		return nil, err
	}
	httpClient := &http.Client{Timeout: *flags.timeout}
	return operator.NewClient(*flags.address, bearer(strings.TrimSpace(string(token))), operator.WithClient(httpClient))
}

// explain turns a typed error of the API into a message for the operator.
func explain(err error) error {
	var typed *operator.ErrorStatusCode
	if !errors.As(err, &typed) {
		return err
	}
	detail := typed.Response.Error
	if generation, ok := detail.Generation.Get(); ok {
		return fmt.Errorf("%s: %s (generation %d is in force)", detail.Code, detail.Message, generation)
	}
	return fmt.Errorf("%s: %s", detail.Code, detail.Message)
}

func runRoll(c *call) error {
	flags := c.connectionFlags()
	seen := c.flags.Int64("seen", -1, "generation that the bundle was made from; default the one before the bundle's")
	if err := c.parse(1, -1); err != nil {
		return err
	}
	client, err := c.connect(flags)
	if err != nil {
		return err
	}
	request, err := c.rollRequest(*seen)
	if err != nil {
		return err
	}
	summary, err := client.RollBundle(context.Background(), request)
	if err != nil {
		return explain(err)
	}
	fmt.Fprintf(c.stdout, "rolled generation %d, digest %s, signed by %s\n", summary.Generation, summary.Digest, strings.Join(summary.Signers, ", "))
	return nil
}

// rollRequest reads the bundle and its signature files, by default all files FILE.*.sig.
func (c *call) rollRequest(seen int64) (*operator.RollRequest, error) {
	path := c.flags.Arg(0)
	_, manifest, text, err := readValid(path)
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
	request := &operator.RollRequest{SeenGeneration: seen, Document: string(text)}
	for _, file := range files {
		signature, err := readSignature(file, manifest)
		if err != nil {
			return nil, err
		}
		request.Signatures = append(request.Signatures, signature)
	}
	return request, nil
}

// readSignature reads a signature file and checks that it was made for this text of the bundle.
func readSignature(path string, manifest bundle.Manifest) (operator.Signature, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return operator.Signature{}, err
	}
	var file signatureFile
	if err := json.Unmarshal(data, &file); err != nil {
		return operator.Signature{}, fmt.Errorf("%s: %w", path, err)
	}
	if file.Digest != manifest.Digest() {
		return operator.Signature{}, fmt.Errorf("%s: signs generation %d with digest %s, the bundle has generation %d with digest %s", path,
			file.Generation, file.Digest, manifest.Generation, manifest.Digest())
	}
	return operator.Signature{Operator: file.Operator, Signature: file.Signature}, nil
}

func runStatus(c *call) error {
	flags := c.connectionFlags()
	if err := c.parse(0, 0); err != nil {
		return err
	}
	client, err := c.connect(flags)
	if err != nil {
		return err
	}
	status, err := client.GetStatus(context.Background())
	if err != nil {
		return explain(err)
	}
	behind := 0
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tFAILURE DOMAIN\tSTATE\tGENERATION")
	for _, instance := range status.Instances {
		if instance.Generation < status.Generation {
			behind++
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", instance.ID, instance.FailureDomain, instance.State, instance.Generation)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "generation %d in force at %s, %d of %d instances behind, store available: %t\n", status.Generation,
		status.Instance, behind, len(status.Instances), status.StoreAvailable)
	return nil
}

func runHistory(c *call) error {
	flags := c.connectionFlags()
	if err := c.parse(0, 0); err != nil {
		return err
	}
	client, err := c.connect(flags)
	if err != nil {
		return err
	}
	list, err := client.ListBundles(context.Background())
	if err != nil {
		return explain(err)
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GENERATION\tROLLED AT\tSIGNED BY\tDIGEST")
	for _, b := range list.Bundles {
		at := "unknown"
		if rolledAt, ok := b.RolledAt.Get(); ok {
			at = rolledAt.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", b.Generation, at, strings.Join(b.Signers, ","), b.Digest)
	}
	return table.Flush()
}
