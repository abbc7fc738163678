package bundle

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an example bundle in the documentation that cannot be parsed or does not pass validation.
func TestExampleBundleIsValid(t *testing.T) {
	const file = "../../docs/examples/bundle.yaml"
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	doc, err := ParseYAML(data, file)
	require.NoError(t, err)
	require.NoError(t, doc.Validate())
}
