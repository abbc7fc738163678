package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against settings that the operators' page does not mention.
func TestOperationsPageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/running.md")
	require.NoError(t, err)
	for _, path := range paths(reflect.TypeFor[Settings](), "") {
		require.Contains(t, string(page), "`"+path+"`", "docs/running.md")
	}
}

// paths lists the settings below a type. Lists and TLS blocks count as one setting, which the page describes as a whole.
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

// Guards against an example that the instance refuses.
func TestExampleSettingsAreValid(t *testing.T) {
	_, err := Load("../../docs/examples/settings.yaml")
	require.NoError(t, err)
}
