package bundlecmd

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// Permissions of written files: only the operator may read a private key.
const (
	privateMode = 0o600
	publicMode  = 0o644
)

// signatureSuffix ends the names of signature files: FILE.OPERATOR.sig.
const signatureSuffix = ".sig"

// signatureFile is the JSON of a signature file. Generation and digest tell which text of the bundle was signed.
type signatureFile struct {
	Operator   string           `json:"operator"`
	Generation fleet.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	Signature  []byte           `json:"signature"`
}

func runCheck(c *call) error {
	if err := c.parse(1, 1); err != nil {
		return err
	}
	doc, manifest, _, err := readValid(c.flags.Arg(0))
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%s: generation %d is valid: %d models, %d services, %d groups, %d callers, digest %s\n", c.flags.Arg(0),
		doc.Generation, len(doc.Models), len(doc.Services), len(doc.Groups), len(doc.Callers), manifest.Digest())
	return nil
}

func runDiff(c *call) error {
	if err := c.parse(2, 2); err != nil {
		return err
	}
	before, _, err := readDocument(c.flags.Arg(0))
	if err != nil {
		return err
	}
	after, _, err := readDocument(c.flags.Arg(1))
	if err != nil {
		return err
	}
	for _, line := range bundle.Describe(bundle.Diff(before, after)) {
		fmt.Fprintln(c.stdout, line)
	}
	return nil
}

func runDigest(c *call) error {
	if err := c.parse(1, 1); err != nil {
		return err
	}
	_, manifest, _, err := readValid(c.flags.Arg(0))
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%d %s\n", manifest.Generation, manifest.Digest())
	return nil
}

func runKeygen(c *call) error {
	operator := c.flags.String("operator", "", "`name` of the operator")
	out := c.flags.String("out", "", "`directory` for NAME.key and NAME.pub")
	if err := c.parse(0, 0); err != nil {
		return err
	}
	if err := c.required("operator", "out"); err != nil {
		return err
	}
	if !isFileName(*operator) {
		return c.wrong("operator %q cannot be part of a file name", *operator)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("create key: %w", err)
	}
	privatePEM, err := bundle.EncodePrivateKey(private)
	if err != nil {
		return err
	}
	publicPEM, err := bundle.EncodePublicKey(public)
	if err != nil {
		return err
	}
	base := filepath.Join(*out, *operator)
	if err := writeNew(base+".key", privatePEM, privateMode); err != nil {
		return err
	}
	if err := writeNew(base+".pub", publicPEM, publicMode); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "wrote %s.key (keep it secret) and %s.pub\n", base, base)
	fmt.Fprintf(c.stdout, "entry of bundle.trusted_keys in the instances' settings:\n  - operator: %s\n    public_key: %s\n",
		*operator, base64.StdEncoding.EncodeToString(public))
	return nil
}

// isFileName tells whether an operator's name stays within a directory.
func isFileName(name string) bool {
	return name != "" && name != "." && name != ".." && !strings.ContainsAny(name, `/\`)
}

// writeNew creates a file and never overwrites one, so that a key in use is not lost.
func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return fmt.Errorf("write %s: %w", path, err)
	}
	return file.Close()
}

func runSign(c *call) error {
	keyPath := c.flags.String("key", "", "`file` with the private key")
	operator := c.flags.String("operator", "", "`name` of the operator")
	if err := c.parse(1, 1); err != nil {
		return err
	}
	if err := c.required("key", "operator"); err != nil {
		return err
	}
	if !isFileName(*operator) {
		return c.wrong("operator %q cannot be part of a file name", *operator)
	}
	key, err := readKey(*keyPath)
	if err != nil {
		return err
	}
	path := c.flags.Arg(0)
	_, manifest, _, err := readValid(path)
	if err != nil {
		return err
	}
	signature := bundle.Sign(manifest.Bytes(), *operator, key)
	return c.writeSignature(path+"."+*operator+signatureSuffix, manifest, signature)
}

func readKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := bundle.DecodePrivateKey(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return key, nil
}

func (c *call) writeSignature(path string, manifest bundle.Manifest, signature bundle.Signature) error {
	encoded, err := json.MarshalIndent(signatureFile{
		Operator:   signature.Operator,
		Generation: manifest.Generation,
		Digest:     manifest.Digest(),
		Signature:  signature.Signature,
	}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(encoded, '\n'), publicMode); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "wrote %s: generation %d, digest %s\n", path, manifest.Generation, manifest.Digest())
	return nil
}
