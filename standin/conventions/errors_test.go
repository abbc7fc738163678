package conventions_test

import (
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"maps"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the directory of the workspace.
const root = "../.."

// sourceFiles parses the code of the workspace, without tests and generated files.
func sourceFiles(t *testing.T) (*token.FileSet, map[string]*ast.File) {
	set, files := token.NewFileSet(), make(map[string]*ast.File)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root, entry.IsDir() && entry.Name() == "journal":
			return filepath.SkipDir
		case entry.IsDir(), !strings.HasSuffix(path, ".go"), strings.HasSuffix(path, "_test.go"), strings.HasSuffix(path, "_gen.go"):
			return nil
		}
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		files[path] = file
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return set, files
}

// callOf returns the function of a package that a node calls, as "package.Function", and the call; or "" if it calls none.
func callOf(n ast.Node) (string, *ast.CallExpr) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return "", nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", nil
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok {
		return "", nil
	}
	return pkg.Name + "." + selector.Sel.Name, call
}

// stringOf returns the value of a string literal.
func stringOf(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// sentinels returns the texts of the errors that are declared in packages, and of those of the standard library that the code compares with. It
// fails on two with the same text.
func sentinels(t *testing.T) map[string]string {
	texts := make(map[string]string)
	for _, err := range []error{
		context.Canceled, context.DeadlineExceeded, io.EOF, io.ErrUnexpectedEOF,
		net.ErrClosed, os.ErrDeadlineExceeded, os.ErrNotExist, os.ErrExist, os.ErrPermission,
	} {
		texts[err.Error()] = fmt.Sprintf("the standard library (%T)", err)
	}
	set, files := sourceFiles(t)
	for _, file := range files {
		for _, declaration := range file.Decls {
			variables, ok := declaration.(*ast.GenDecl)
			if !ok || variables.Tok != token.VAR {
				continue
			}
			ast.Inspect(variables, func(n ast.Node) bool {
				name, call := callOf(n)
				if name != "eris.New" && name != "errors.New" {
					return true
				}
				text, ok := stringOf(call.Args[0])
				require.True(t, ok, "%s: text of an error is not a literal", set.Position(call.Pos()))
				at := set.Position(call.Pos()).String()
				if other, taken := texts[text]; taken {
					t.Errorf("%s: %q is also the text of the error at %s, and errors of eris are equal by their texts", at, text, other)
				}
				texts[text] = at
				return true
			})
		}
	}
	require.Greater(t, len(texts), 100)
	return texts
}

var verb = regexp.MustCompile(`%[-+# 0]*[0-9.*]*[a-zA-Z]`)

// pattern returns an expression that matches all messages of a format.
func pattern(format string) *regexp.Regexp {
	var expression strings.Builder
	last := 0
	for _, at := range verb.FindAllStringIndex(format, -1) {
		expression.WriteString(regexp.QuoteMeta(format[last:at[0]]))
		switch format[at[1]-1] {
		case 'd':
			expression.WriteString(`-?\d+`)
		case 'q':
			expression.WriteString(`".*"`)
		default:
			expression.WriteString(".*")
		}
		last = at[1]
	}
	expression.WriteString(regexp.QuoteMeta(format[last:]))
	return regexp.MustCompile("(?s)^" + expression.String() + "$")
}

// Guards against an error that is also another one: errors.Is is true for any level of wrapping by eris whose message is the text of the other
// error. A caller was told that its job would never run, and it ran.
func TestNoMessageCanBeTheTextOfAnotherError(t *testing.T) {
	texts := sentinels(t)
	set, files := sourceFiles(t)
	for _, file := range files {
		for _, declaration := range file.Decls {
			_, inFunction := declaration.(*ast.FuncDecl)
			ast.Inspect(declaration, func(n ast.Node) bool {
				name, call := callOf(n)
				if argument, ok := messageArguments[name]; ok && (inFunction || name != "eris.New") { // others are among the texts
					checkMessage(t, texts, set.Position(call.Pos()).String(), name, call.Args[argument])
				}
				return true
			})
		}
	}
}

// messageArguments has the index of the message in the arguments of the functions that make an error with a message of its own.
var messageArguments = map[string]int{"eris.New": 0, "eris.Errorf": 0, "eris.Wrap": 1, "eris.Wrapf": 1}

// checkMessage fails if the message of a call can be one of the texts.
func checkMessage(t *testing.T, texts map[string]string, at, name string, argument ast.Expr) {
	message, ok := stringOf(argument)
	if !ok {
		t.Errorf(`%s: message of %s is not a literal; use fmt.Errorf("%%w: %%v", ...) to keep the text of a cause`, at, name)
		return
	}
	possible := regexp.MustCompile("^" + regexp.QuoteMeta(message) + "$")
	if strings.HasSuffix(name, "f") {
		possible = pattern(message)
	}
	for _, text := range slices.Sorted(maps.Keys(texts)) {
		if possible.MatchString(text) {
			t.Errorf("%s: message %q can be %q, the text of the error at %s", at, message, text, texts[text])
			return
		}
	}
}

// Guards against a change of the rules of errors.Is on which the conversion of errors between layers rests.
func TestCauseThatIsKeptAsTextIsNotTheError(t *testing.T) {
	kind, cause := errors.New("kind"), errors.New("cause")
	converted := fmt.Errorf("%w: %v", kind, cause)
	require.ErrorIs(t, converted, kind)
	require.NotErrorIs(t, converted, cause)
}
