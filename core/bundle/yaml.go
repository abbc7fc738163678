package bundle

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"
)

const (
	// MaxDocumentBytes is the maximum size of a YAML document. 44,000 callers take about 6 MB.
	MaxDocumentBytes = 16 << 20
	// maxYAMLNesting is the maximum number of brackets that are open at the same time, and of sequence dashes on one line. The parser
	// recurses for each level; a bundle document needs 4.
	maxYAMLNesting = 16
)

// ParseError describes why a YAML document cannot be read, and where.
type ParseError struct {
	Source  string // file name as given to ParseYAML
	Line    int    // starts at 1; 0 if unknown
	Column  int    // starts at 1; 0 if unknown
	Field   string // name of the field at that position; empty if unknown
	Message string
}

// Error returns a text of the form `source:line:column: field "name": message`, without the parts that are unknown.
func (e *ParseError) Error() string {
	location := e.Source
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", e.Source, e.Line, e.Column)
	}
	if e.Field != "" {
		return fmt.Sprintf("%s: field %q: %s", location, e.Field, e.Message)
	}
	return location + ": " + e.Message
}

// ParseYAML reads one document strictly: unknown and repeated fields, anchors, aliases, tags and further documents are errors.
// source names the file in errors, which are a *ParseError or wrap ErrDocumentTooLarge. The result is not validated; see
// Document.Validate.
func ParseYAML(data []byte, source string) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, eris.Wrapf(ErrDocumentTooLarge, "%s has %d bytes, at most %d are allowed", source, len(data), MaxDocumentBytes)
	}
	node, err := parseTree(data, source)
	if err != nil {
		return nil, err
	}
	doc := &Document{}
	decoder := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict())
	if err := decoder.DecodeFromNode(node, doc); err != nil {
		return nil, parseError(err, source)
	}
	return doc, nil
}

// parseTree returns the root mapping of the YAML document in data. No document, or more than one, is an error.
func parseTree(data []byte, source string) (ast.Node, error) {
	tokens := lexer.Tokenize(string(data))
	if err := checkTokens(tokens, source); err != nil {
		return nil, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, parseError(err, source)
	}
	if len(file.Docs) > 1 {
		return nil, &ParseError{Source: source, Message: fmt.Sprintf("has %d YAML documents, want one", len(file.Docs))}
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil, &ParseError{Source: source, Message: "is empty"}
	}
	body := file.Docs[0].Body
	if body.Type() != ast.MappingType {
		return nil, &ParseError{Source: source, Line: 1, Column: 1, Message: "the document is not a mapping of fields"}
	}
	return body, nil
}

// checkTokens rejects YAML features that a bundle does not need (anchors, aliases, merge keys, explicit keys, tags, directives) and
// deep nesting. With some of them, a small document could take much memory or stack.
func checkTokens(tokens token.Tokens, source string) error {
	openBrackets, dashes, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, dashes = t.Position.Line, 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return tokenError(t, source, "anchors, aliases and merge keys are not supported")
		case token.MappingKeyType, token.TagType, token.DirectiveType:
			return tokenError(t, source, "explicit keys, tags and directives are not supported")
		case token.SequenceStartType, token.MappingStartType:
			openBrackets++
		case token.SequenceEndType, token.MappingEndType:
			openBrackets--
		case token.SequenceEntryType:
			dashes++
		}
		if openBrackets > maxYAMLNesting || dashes > maxYAMLNesting {
			return tokenError(t, source, "is nested too deeply")
		}
	}
	return nil
}

// parseError converts an error of the YAML library to a *ParseError, with the position if the library states one.
func parseError(err error, source string) error {
	var detailed yaml.Error
	if errors.As(err, &detailed) && detailed.GetToken() != nil {
		return tokenError(detailed.GetToken(), source, detailed.GetMessage())
	}
	return &ParseError{Source: source, Message: err.Error()}
}

func tokenError(t *token.Token, source, message string) error {
	return &ParseError{
		Source:  source,
		Line:    t.Position.Line,
		Column:  t.Position.Column,
		Field:   fieldOf(t),
		Message: message,
	}
}

// fieldOf returns the token itself if a colon follows it, because it is a key then; otherwise the nearest key before it, or "".
func fieldOf(t *token.Token) string {
	if t.Next != nil && t.Next.Type == token.MappingValueType {
		return t.Value
	}
	for current := t; current != nil; current = current.Prev {
		if current.Type == token.MappingValueType && current.Prev != nil {
			return current.Prev.Value
		}
	}
	return ""
}
