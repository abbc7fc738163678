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

// ErrInvalid is wrapped by every error about the content of a settings file.
var ErrInvalid = eris.New("invalid settings")

// maxFileBytes is the maximum size of a settings file. Typical files have a few kilobytes.
const maxFileBytes = 1 << 20

// Load reads a settings file, applies the defaults and checks the result. See Parse for the errors about its content.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "read settings file %s", file)
	}
	return Parse(data, file)
}

// Parse decodes settings, applies the defaults and checks the result. An error wraps ErrInvalid and names file, line and setting of each
// problem; file is only used for this.
func Parse(data []byte, file string) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, eris.Wrapf(ErrInvalid, "%s: file has %d bytes, at most %d are read", file, len(data), maxFileBytes)
	}
	var s Settings
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, decodeMessage(err, file))
	}
	s.applyDefaults()
	if problems := s.problems(); len(problems) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, describe(problems, data, file))
	}
	return &s, nil
}

// positionPrefix matches the [line:column] with which the YAML library starts an error message.
var positionPrefix = regexp.MustCompile(`^\[(\d+):\d+\] `)

// decodeMessage returns the line and the message of a YAML error without the excerpt of the file, which may contain secrets.
func decodeMessage(err error, file string) string {
	message := yaml.FormatError(err, false, false)
	first := strings.TrimSpace(strings.SplitN(message, "\n", 2)[0])
	if positionPrefix.MatchString(first) {
		return file + ":" + positionPrefix.ReplaceAllString(first, "$1: ")
	}
	return file + ": " + first
}

// describe returns the problems as one text, each with its file, line and setting.
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

// lineOf returns the line of the setting in the file. For a setting that is absent it returns the line of its nearest ancestor that is
// present, or 1 if there is none.
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
