package settings

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// ErrInvalid is the root of every error about the content of a settings file.
var ErrInvalid = eris.New("invalid settings")

// maxFileBytes bounds a settings file; real ones have a few kilobytes.
const maxFileBytes = 1 << 20

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "read settings file %s", file)
	}
	return Parse(data, file)
}

// Parse reads and checks settings; file names the source in errors.
func Parse(data []byte, file string) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, eris.Wrapf(ErrInvalid, "%s: file has %d bytes, at most %d are read", file, len(data), maxFileBytes)
	}
	var s Settings
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(&s); err != nil {
		return nil, eris.Wrap(ErrInvalid, decodeMessage(err, file))
	}
	s.applyDefaults()
	if problems := s.problems(); len(problems) > 0 {
		return nil, eris.Wrap(ErrInvalid, describe(problems, data, file))
	}
	return &s, nil
}

// position is how the YAML library starts a message: [line:column].
var position = regexp.MustCompile(`^\[(\d+):\d+\] `)

// decodeMessage keeps the line and the message of a YAML error, without the source excerpt, which may hold secrets.
func decodeMessage(err error, file string) string {
	message := yaml.FormatError(err, false, false)
	first := strings.TrimSpace(strings.SplitN(message, "\n", 2)[0])
	if position.MatchString(first) {
		return file + ":" + position.ReplaceAllString(first, "$1: ")
	}
	return file + ": " + first
}

// describe joins the problems, each with file, line and setting.
func describe(problems []problem, data []byte, file string) string {
	tree, err := parser.ParseBytes(data, 0)
	lines := make([]string, len(problems))
	for i, p := range problems {
		line := 0
		if err == nil {
			line = lineOf(tree, p.path)
		}
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", file, line, p.path, p.message)
	}
	return strings.Join(lines, "; ")
}

// lineOf returns the line of a setting, or of its nearest ancestor that is in the file; 1 if none is.
func lineOf(tree *ast.File, path string) int {
	for path != "" {
		if parsed, err := yaml.PathString("$." + path); err == nil {
			if node, err := parsed.FilterFile(tree); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}
