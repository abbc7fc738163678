package bundle

import (
	"errors"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against documents that lose or change fields between YAML and the in-memory form.
func TestParseYAMLRoundTrip(t *testing.T) {
	want := testDocument(3)
	text, err := yaml.Marshal(want)
	require.NoError(t, err)
	got, err := ParseYAML(text, "bundle.yaml")
	require.NoError(t, err)
	require.NoError(t, got.Validate())
	assert.Equal(t, want.normalized(), got.normalized())
}

// Guards against errors without the position of the mistake, and against documents that take much memory or stack.
func TestParseYAMLRejects(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
		field      string
		message    string
	}{
		{"an unknown field", "generation: 1\nlimits:\n  progres_timeout_ms: 5\n", 3, "progres_timeout_ms", "unknown field"},
		{"a value of the wrong type", "generation: 1\nmodels:\n  - name: a\n    max_running: many\n", 4, "max_running", "cannot unmarshal"},
		{"a negative generation", "generation: -1\n", 1, "generation", "cannot unmarshal"},
		{"a repeated field", "generation: 1\ngeneration: 2\n", 2, "generation", "already defined"},
		{"an alias", "models: &m []\ngroups: *m\n", 1, "models", "aliases"},
		{"deep nesting", "models: " + strings.Repeat("[", 1000), 1, "models", "nested too deeply"},
		{"a second document", "generation: 1\n---\ngeneration: 2\n", 0, "", "2 YAML documents"},
		{"an empty document", "", 0, "", "is empty"},
		{"a document that is a list", "- 1\n", 1, "", "not a mapping"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseYAML([]byte(c.text), "bundle.yaml")
			var parseErr *ParseError
			require.ErrorAs(t, err, &parseErr)
			assert.Equal(t, "bundle.yaml", parseErr.Source)
			assert.Equal(t, c.line, parseErr.Line, err)
			assert.Equal(t, c.field, parseErr.Field, err)
			assert.Contains(t, parseErr.Message, c.message)
		})
	}
	_, err := ParseYAML(make([]byte, MaxDocumentBytes+1), "bundle.yaml")
	require.ErrorIs(t, err, ErrDocumentTooLarge)
}

// Guards against mistakes that validation misses, and against a report that ends at the first problem.
func TestValidateReportsEveryProblemWithItsPath(t *testing.T) {
	doc := testDocument(3)
	doc.Generation = 0
	doc.Topology.Regions[1].FailureDomains[0] = "randstad-a"
	doc.Topology.Link.OnlineReservePercent = 101
	doc.Limits.QueueTimeoutMs = -1
	doc.Models[0].MaxRunning = 0
	doc.Models[1].Name = doc.Models[0].Name
	doc.Services[0].Operations[1].Name = "issue"
	doc.Placement[0].MinReplicas = 13
	doc.Groups[0].Models[1] = "safty"
	doc.Groups[1].RequestsPerSecond = -0.5
	doc.Callers[0].KeySHA256 = "xyz"
	doc.Callers[1].Group = "nobody"
	doc.Callers[2].KeySHA256 = strings.ToUpper(doc.Callers[1].KeySHA256)
	want := map[string]error{
		"generation":                             ErrOutOfRange,
		"topology.regions[1].failure_domains[0]": ErrDuplicate,
		"topology.link.online_reserve_percent":   ErrOutOfRange,
		"limits.queue_timeout_ms":                ErrOutOfRange,
		"models[0].max_running":                  ErrOutOfRange,
		"models[1].name":                         ErrDuplicate,
		"services[0].operations[1].name":         ErrDuplicate,
		"placement[0].min_replicas":              ErrOutOfRange,
		"groups[0].models[1]":                    ErrUnknownReference,
		"groups[1].requests_per_second":          ErrOutOfRange,
		"callers[0].key_sha256":                  ErrBadKeyDigest,
		"callers[1].group":                       ErrUnknownReference,
		"callers[2].key_sha256":                  ErrDuplicate,
	}
	err := doc.Validate()
	require.ErrorIs(t, err, ErrInvalidDocument)
	var validationErr *ValidationError
	require.ErrorAs(t, err, &validationErr)
	got := map[string]error{}
	for _, p := range validationErr.Problems {
		got[p.Path] = p.Err
	}
	assert.Equal(t, want, got)
	require.NoError(t, testDocument(3).Validate())
}

// Guards against panics and unbounded work on malicious input, against errors of undocumented types, and against valid documents that do
// not pass validation after Split and Assemble.
func FuzzParseYAML(f *testing.F) {
	text, err := yaml.Marshal(testDocument(2))
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte("generation: 1\nmodels: [{name: a, max_running: 1}]\n"))
	f.Add([]byte("a: &b [*b]\n"))
	f.Add([]byte("? - - - - -\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseYAML(data, "fuzz")
		if err != nil {
			var parseErr *ParseError
			if !errors.As(err, &parseErr) && !errors.Is(err, ErrDocumentTooLarge) {
				t.Fatalf("untyped error %T: %v", err, err)
			}
			return
		}
		if doc.Validate() != nil {
			return
		}
		manifest, sections, err := Split(doc)
		require.NoError(t, err)
		again, err := Assemble(manifest, sections)
		require.NoError(t, err)
		require.NoError(t, again.Validate())
	})
}
