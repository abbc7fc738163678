package files

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/bulk"
)

var sentinels = []error{ErrNotFound, ErrBusy, ErrTooSlow, ErrRecordUnavailable, ErrOutcomeUnknown, ErrContentUnavailable, ErrContentLost}

// Guards against a converted error that is also another one of the package, by the text of its cause: a caller would be told that a call had no
// effect although it may have had one, or the reverse.
func TestConvertedErrorIsOneErrorOnly(t *testing.T) {
	for _, cause := range sentinels {
		for _, test := range []struct{ converted, want error }{
			{storeError(fmt.Errorf("%w: %v", kv.ErrOutcomeUnknown, cause)), ErrOutcomeUnknown},
			{storeError(errors.New(cause.Error())), ErrRecordUnavailable},
			{blobError(fmt.Errorf("%w: %v", bulk.ErrNotFound, cause)), ErrContentLost},
			{blobError(errors.New(cause.Error())), ErrContentUnavailable},
		} {
			for _, sentinel := range sentinels {
				require.Equal(t, sentinel == test.want, errors.Is(test.converted, sentinel), "%v is %v", test.converted, sentinel)
			}
		}
	}
}
