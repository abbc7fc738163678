package detach

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a reader of memory that its owner fills anew.
func TestContentIsNotReadAfterDetach(t *testing.T) {
	r := NewReader([]byte("content"))
	buffer := make([]byte, 3)
	_, err := r.Read(buffer)
	require.NoError(t, err)
	r.Detach()
	_, err = r.Read(buffer)
	assert.ErrorIs(t, err, ErrDetached)
}
