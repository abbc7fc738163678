package weights_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"eelgrassproxy.example/standin/weights"
)

// Guards against transfers that escape the rate limit, and against missing weights that look transferred.
func TestTransfersShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mebibyte = 1 << 20
		s := weights.New(weights.Options{BytesPerSecond: mebibyte})
		s.Set("m", "v", 11*mebibyte)
		start := time.Now()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/weights/m/v", nil))
		assert.JSONEq(t, `{"bytes":11534336}`, w.Body.String())
		assert.InDelta(t, 10, time.Since(start).Seconds(), 0.01, "the first mebibyte is the burst")
		assert.EqualValues(t, 11*mebibyte, s.Transferred())

		w = httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/weights/m/other", nil))
		assert.Equal(t, 404, w.Code)
	})
}
