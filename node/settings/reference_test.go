package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a setting that the page for operators does not document.
func TestOperationsPageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/running.md")
	require.NoError(t, err)
	for _, path := range paths(reflect.TypeFor[Settings](), "") {
		require.Contains(t, string(page), "`"+path+"`", "docs/running.md")
	}
}

// paths returns the paths of the settings in a struct type. A list or a TLS block counts as one setting, since the page describes it as a
// whole.
func paths(t reflect.Type, prefix string) []string {
	var all []string
	for i := range t.NumField() {
		field := t.Field(i)
		path := prefix + strings.Split(field.Tag.Get("yaml"), ",")[0]
		if field.Type.Kind() == reflect.Struct && field.Type != reflect.TypeFor[TLS]() {
			all = append(all, paths(field.Type, path+".")...)
			continue
		}
		all = append(all, path)
	}
	return all
}

// Guards against an example in the documentation that Load rejects.
func TestExampleSettingsAreValid(t *testing.T) {
	_, err := Load("../../docs/examples/settings.yaml")
	require.NoError(t, err)
}
