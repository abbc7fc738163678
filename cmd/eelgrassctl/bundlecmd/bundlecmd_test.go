package bundlecmd

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/bundle"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const document = `generation: 7
models:
  - {name: m, base: b, version: "1", max_running: 4}
groups:
  - {name: g, models: [m], requests_per_second: 1.5, burst: 2}
callers:
  - {id: c, group: g, key_sha256: "0000000000000000000000000000000000000000000000000000000000000001"}
`

// run runs a subcommand and returns its exit code and output.
func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against exit codes that scripts cannot rely on and messages without the place of the mistake.
func TestExitCodesAndMessages(t *testing.T) {
	dir := t.TempDir()
	good := write(t, dir, "good.yaml", document)
	typo := write(t, dir, "typo.yaml", strings.Replace(document, "burst", "brust", 1))
	invalid := write(t, dir, "invalid.yaml", strings.Replace(document, "models: [m]", "models: [n]", 1))
	next := write(t, dir, "next.yaml", strings.NewReplacer("generation: 7", "generation: 8", "burst: 2", "burst: 3").Replace(document))
	cases := []struct {
		name string
		args []string
		code int
		want string // part of stdout or stderr
	}{
		{"no command", nil, exitUsage, "usage"},
		{"an unknown command", []string{"chek"}, exitUsage, `unknown command "chek"`},
		{"help", []string{"help"}, exitOK, "keygen"},
		{"help of a command", []string{"sign", "-h"}, exitOK, "-operator"},
		{"a missing argument", []string{"check"}, exitUsage, "0 arguments"},
		{"a missing flag", []string{"sign", good}, exitUsage, "-key is missing"},
		{"a valid bundle", []string{"check", good}, exitOK, "generation 7 is valid"},
		{"an unknown field", []string{"check", typo}, exitFailed, `typo.yaml:5:54: field "brust"`},
		{"an invalid bundle", []string{"check", invalid}, exitFailed, "groups[0].models[0]"},
		{"a missing file", []string{"digest", dir + "/none"}, exitFailed, "no such file"},
		{"a difference", []string{"diff", good, next}, exitOK, `groups: set g {"burst":3`},
		{"an operator outside the directory", []string{"keygen", "-operator", "../x", "-out", dir}, exitUsage, "file name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := run(c.args...)
			assert.Equal(t, c.code, code)
			assert.Contains(t, stdout+stderr, c.want)
		})
	}
}

// fakeInstance is the operators' listener of an instance that rolls when two operators signed.
type fakeInstance struct {
	operator.Handler
	verifier bundle.Verifier
	rolled   *operator.RollRequest
}

func (f *fakeInstance) HandleBearer(ctx context.Context, _ operator.OperationName, b operator.Bearer) (context.Context, error) {
	if b.Token != "secret" {
		return nil, os.ErrPermission
	}
	return ctx, nil
}

func (f *fakeInstance) RollBundle(_ context.Context, request *operator.RollRequest) (*operator.BundleSummary, error) {
	if f.rolled != nil {
		conflict := &operator.ErrorStatusCode{StatusCode: 409}
		conflict.Response.Error = operator.Error{Code: "conflict", Message: "lost the race", Generation: operator.NewOptInt64(7)}
		return nil, conflict
	}
	doc, err := bundle.ParseYAML([]byte(request.Document.Value), "request")
	if err != nil {
		return nil, err
	}
	manifest, _, err := bundle.Split(doc)
	if err != nil {
		return nil, err
	}
	signed := bundle.SignedManifest{Manifest: manifest.Bytes()}
	for _, s := range request.Signatures {
		signed.Signatures = append(signed.Signatures, bundle.Signature{Operator: s.Operator, Signature: s.Signature})
	}
	if _, err := f.verifier.Verify(signed); err != nil {
		return nil, err
	}
	f.rolled = request
	return &operator.BundleSummary{Generation: 7, Digest: manifest.Digest(), Signers: []string{"anna", "bert"}}, nil
}

// GetBundle makes the command send whole bundles: this instance has none in force yet.
func (f *fakeInstance) GetBundle(context.Context, operator.GetBundleParams) (*operator.BundleInForce, error) {
	return nil, os.ErrNotExist
}

func (f *fakeInstance) NewError(_ context.Context, err error) *operator.ErrorStatusCode {
	out := &operator.ErrorStatusCode{StatusCode: 400}
	out.Response.Error = operator.Error{Code: "refused", Message: err.Error()}
	return out
}

// Guards against signatures that an instance cannot verify, against rolling a text that was changed after signing, and against a
// conflict that does not name the generation in force.
func TestKeygenSignAndRoll(t *testing.T) {
	dir := t.TempDir()
	file := write(t, dir, "bundle.yaml", document)
	token := write(t, dir, "token", "secret\n")
	verifier := bundle.Verifier{Keys: map[string]ed25519.PublicKey{}, Required: 2}
	for _, name := range []string{"anna", "bert"} {
		code, _, stderr := run("keygen", "-operator", name, "-out", dir)
		require.Equal(t, exitOK, code, stderr)
		code, _, _ = run("keygen", "-operator", name, "-out", dir)
		require.Equal(t, exitFailed, code, "an existing key must not be overwritten")
		info, err := os.Stat(filepath.Join(dir, name+".key"))
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(privateMode), info.Mode().Perm())
		public, err := os.ReadFile(filepath.Join(dir, name+".pub"))
		require.NoError(t, err)
		verifier.Keys[name], err = bundle.DecodePublicKey(public)
		require.NoError(t, err)
	}
	instance := &fakeInstance{verifier: verifier}
	handler, err := operator.NewServer(instance, instance)
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	defer server.Close()
	roll := []string{"roll", "-address", server.URL, "-token-file", token, file}

	sign := func(name string) {
		code, _, stderr := run("sign", "-key", filepath.Join(dir, name+".key"), "-operator", name, file)
		require.Equal(t, exitOK, code, stderr)
	}
	sign("anna")
	code, _, stderr := run(roll...)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "1 of 2 required operators")
	sign("bert")
	write(t, dir, "bundle.yaml", strings.Replace(document, "burst: 2", "burst: 9", 1))
	code, _, stderr = run(roll...)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "signs generation 7 with digest")
	write(t, dir, "bundle.yaml", document)
	code, stdout, stderr := run(roll...)
	require.Equal(t, exitOK, code, stderr)
	assert.Contains(t, stdout, "rolled generation 7")
	assert.Equal(t, int64(6), instance.rolled.SeenGeneration)
	code, _, stderr = run(roll...)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "generation 7 is in force")
}
