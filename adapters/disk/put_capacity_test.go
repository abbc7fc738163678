package disk

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityPut reports wall-clock and processor time of writing one durable blob.
func BenchmarkCapacityPut(b *testing.B) {
	for _, size := range []int{64 << 10, 512 << 10, 8 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			s, err := Open(b.TempDir(), Options{})
			require.NoError(b, err)
			data := bytes.Repeat([]byte("x"), size)
			n := uint64(0)
			started := processorTime(b)
			for b.Loop() {
				n++
				binary.BigEndian.PutUint64(data, n)
				sum := sha256.Sum256(data)
				require.NoError(b, s.Put(hex.EncodeToString(sum[:]), bytes.NewReader(data)))
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
