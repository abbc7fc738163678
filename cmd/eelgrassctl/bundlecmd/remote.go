package bundlecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/cmd/eelgrassctl/operatorcmd"
	"eelgrassproxy.example/core/bundle"
)

// defaultTimeout bounds one call to the operators' listener; a first roll of 44,000 callers writes several transactions.
const defaultTimeout = 30 * time.Second

// connectionFlags adds the flags of commands that call an instance.
func (c *call) connectionFlags() *operatorcmd.Connection {
	return operatorcmd.AddFlags(c.flags, defaultTimeout)
}

func (c *call) connect(connection *operatorcmd.Connection) (*operator.Client, error) {
	client, err := connection.Client()
	if errors.Is(err, operatorcmd.ErrNoToken) {
		return nil, c.wrong("%v", err)
	}
	return client, err
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
		return operatorcmd.Describe(err)
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
		return operatorcmd.Describe(err)
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
