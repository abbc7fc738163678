package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/standin/engine"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// tallyNetwork counts the bytes of the connections that instances open, in both directions.
type tallyNetwork struct {
	Network
	bytes atomic.Int64
}

// Dial implements Network.
func (n *tallyNetwork) Dial(part string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := n.Network.Dial(part)
	if !strings.HasPrefix(part, "instance-") {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tallyConn{conn, &n.bytes}, nil
	}
}

type tallyConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c tallyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c tallyConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// capacityFleet starts a fleet on loopback with fast engines.
func capacityFleet(b *testing.B, instances, replicas int) *Fleet {
	klog.SetLogger(logr.Discard())
	deployment := Draadwerk()
	deployment.Replicas = replicas
	f, err := Start(Options{
		Deployment: deployment, Network: &tallyNetwork{Network: NewLoopback()}, Instances: instances, Folder: b.TempDir(), Seed: 1,
		Engine: func(int) engine.Options {
			o := engine.DefaultOptions()
			o.StepBase, o.StepPerSequence, o.PrefillPerToken = time.Millisecond, 0, 0
			return o
		},
	})
	require.NoError(b, err)
	b.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(b.Context(), 30*time.Second)
	defer cancel()
	require.NoError(b, f.Roll(ctx, deployment.Document(1)))
	require.NoError(b, f.AwaitReady(ctx))
	return f
}

// sendChat returns the bytes of the answer's body.
func sendChat(ctx context.Context, client *http.Client, address, id string, tokens int) (int, error) {
	body := fmt.Sprintf(`{"model":"bench-assist","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Which plug fits %s?"}]}`, tokens, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", id)
	response, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && !strings.Contains(string(answer), "[DONE]") {
		return 0, fmt.Errorf("status %d, answer %q", response.StatusCode, answer)
	}
	return len(answer), err
}

// BenchmarkCapacityRequest reports the processor time of a streamed request by its tokens, of caller, instance and stand-in engine
// together, so that it is an upper bound for the instance.
func BenchmarkCapacityRequest(b *testing.B) {
	f := capacityFleet(b, 1, 4)
	client := f.HTTPClient("caller")
	client.Transport.(*http.Transport).MaxIdleConnsPerHost = 16
	address := f.Instances[0].Settings.Listen.Callers
	for _, tokens := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			started := processorTime(b)
			var group sync.WaitGroup
			var received, failed atomic.Int64
			slots := make(chan struct{}, 16) // requests at once
			for i := range b.N {
				slots <- struct{}{}
				group.Go(func() {
					n, err := sendChat(b.Context(), client, address, fmt.Sprintf("r-%d-%d-%d", tokens, b.N, i), tokens)
					received.Add(int64(n))
					if err != nil {
						failed.Add(1)
					}
					<-slots
				})
			}
			group.Wait()
			require.Zero(b, failed.Load(), "failed requests")
			b.ReportMetric(float64(received.Load())/float64(b.N), "answer-bytes/op")
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
	client.CloseIdleConnections()
}

// BenchmarkCapacityIdle reports what an idle instance spends on control over real time: processor time, stand-ins included, and bytes
// to and from peers and of all connections: those that the instance opens, and the half of the peers' that it accepts.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, size := range []struct{ instances, replicas int }{{4, 12}, {8, 12}, {16, 12}, {4, 24}, {4, 48}} {
		b.Run(fmt.Sprintf("instances=%d/replicas=%d", size.instances, size.replicas), func(b *testing.B) {
			f := capacityFleet(b, size.instances, size.replicas)
			client := f.HTTPClient("caller")
			defer client.CloseIdleConnections()
			for n, i := range f.Instances { // a pool is polled once it was used
				_, err := sendChat(b.Context(), client, i.Settings.Listen.Callers, fmt.Sprint("first-", n), 1)
				require.NoError(b, err)
			}
			const span = 6 * time.Second
			time.Sleep(10 * time.Second) // lets every shard get its owner and the news of the start end
			for b.Loop() {
				before, started := f.controlBytes(), processorTime(b)
				dialled := &f.Network.(*tallyNetwork).bytes
				dialledBefore := dialled.Load()
				time.Sleep(span)
				perNode := span.Seconds() * float64(size.instances)
				b.ReportMetric(float64((processorTime(b)-started).Microseconds())/perNode, "cpu-us/node-s")
				peers := float64(f.controlBytes() - before)
				b.ReportMetric(peers/perNode, "peer-bytes/node-s")
				b.ReportMetric((float64(dialled.Load()-dialledBefore)+peers/2)/perNode, "all-bytes/node-s")
			}
		})
	}
}

func (f *Fleet) controlBytes() int64 {
	total := int64(0)
	for _, i := range f.Instances {
		sent, received := i.Daemon.ControlBytes()
		total += sent + received
	}
	return total
}

// BenchmarkCapacityStreams reports the memory of an open stream, of caller, instance and stand-in engine together.
func BenchmarkCapacityStreams(b *testing.B) {
	for _, streams := range []int{8, 24, 48} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f := capacityFleet(b, 1, 4)
			client := f.HTTPClient("caller")
			address := f.Instances[0].Settings.Listen.Callers
			_, err := sendChat(b.Context(), client, address, "first", 1)
			require.NoError(b, err)
			before := memoryInUse()
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for i := range streams {
				group.Go(func() { _, _ = sendChat(ctx, client, address, fmt.Sprint("s-", i), 3_000) })
			}
			running := func() bool { return f.Instances[0].Daemon.Board().Loads.Get("engine-1").InFlight > 0 }
			for !running() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond) // lets every stream reach its first tokens
			for b.Loop() {
				b.ReportMetric(float64(memoryInUse()-before)/1024/float64(streams), "KiB/stream")
			}
			cancel()
			group.Wait()
			client.CloseIdleConnections()
		})
	}
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
