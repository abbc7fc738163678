package gateway

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/kvmirror"
)

const (
	// maxLargeResponses is the maximum number of large responses of one copy that an instance sends at a time. Further readers are refused and read
	// from others: with equal shares of the link, all of them would be late.
	maxLargeResponses = 4
	// maxLargeCrossRegion is how many of these may go to another region. When the whole fleet starts, instances of the region without the store could
	// otherwise fill the link between the regions, over which the first instances there list from the store.
	maxLargeCrossRegion = 1
	// largeResponseBytes is the size from which a response is large.
	largeResponseBytes = 16 << 10
	// largeResponseRate is the rate in bytes per second at which a large response is assumed to leave the instance. The kernel takes it at once, so
	// that the end of the write does not show when the reader has it. Four of them fill a link of 32 Mbit/s.
	largeResponseRate = 1 << 20
	// minTransferRate is the rate in bytes per second below which a transfer is abandoned: a tenth of the slowest link.
	minTransferRate = 256 << 10
	// minCompressedBytes is the size below which compression saves less than its header costs in processor time.
	minCompressedBytes = 512
	// maxCachedBytes bounds the memory for encoded copies. One whole list of 3,000 targets has 140 KB.
	maxCachedBytes = 1 << 20
	// maxReferrals is the maximum number of other sources that a refusal names, and maxServed the number of readers to choose these from.
	maxReferrals = 6
	maxServed    = 64
	// servedTTL is how long a reader is named as a source after it was served.
	servedTTL = 10 * time.Second
)

// Names of the query parameters and of the header field of a read. A reader of an earlier build sends only parameterCopy, any number of times, and
// gets whole copies. Later ones ask for one copy and say its revision, their address and their failure domain.
const (
	parameterCopy   = "copy"
	parameterSince  = "since"
	parameterReader = "reader"
	parameterDomain = "domain"
	// headerStateAge is the time in milliseconds since the copy was encoded, which adds to the age of its horizon.
	headerStateAge = "State-Age-Ms"
)

// Reasons of a refusal in metrics.
const (
	refusedBusy   = "busy"
	refusedNoCopy = "no_copy"
)

// refusal is the body of a response with status 503.
type refusal struct {
	Busy    bool     `json:"busy,omitempty"`    // the peer has the copy
	Sources []string `json:"sources,omitempty"` // peer addresses of instances that were sent the copy lately
}

// encodedCopy is a copy, or changes to one, as they are sent.
type encodedCopy struct {
	body       []byte
	compressed bool
	kind       string // see kindOf
	encoded    time.Time
}

// encodedKey identifies what an encodedCopy contains.
type encodedKey struct {
	copy       string
	since      kv.Revision
	generation uint64
}

// servedReader is an instance that was sent a whole copy.
type servedReader struct {
	address string
	domain  fleet.FailureDomain
	at      time.Time
}

// stateServer serves an instance's copies to its peers.
type stateServer struct {
	copies   map[string]*kvmirror.Mirror
	complete func(copyName string) bool // reports whether the copy may be read
	domain   fleet.FailureDomain        // of this instance
	topology fleet.Topology
	metrics  tally.Scope
	large    map[string]chan struct{} // slots for large responses, by copy
	crossing map[string]chan struct{} // slots for those to other regions, which need one of large as well

	encoding sync.Mutex // held while a copy is encoded, so that it is encoded once and with one compressor; taken before mu
	writer   *gzip.Writer

	mu     sync.Mutex // guards the fields below
	cache  map[encodedKey]*encodedCopy
	order  []encodedKey // of cache, oldest first
	bytes  int          // in cache
	served map[string][]servedReader
}

func newStateServer(copies map[string]*kvmirror.Mirror, domain fleet.FailureDomain, topology fleet.Topology, complete func(string) bool) *stateServer {
	s := &stateServer{
		copies: copies, complete: complete, domain: domain, topology: topology, metrics: tally.NoopScope,
		large: make(map[string]chan struct{}), crossing: make(map[string]chan struct{}),
		cache: make(map[encodedKey]*encodedCopy), served: make(map[string][]servedReader),
	}
	for name := range copies {
		s.large[name] = make(chan struct{}, maxLargeResponses)
		s.crossing[name] = make(chan struct{}, maxLargeCrossRegion)
	}
	return s
}

// kindOf returns the kind of a snapshot in logs and metrics.
func kindOf(s kvmirror.Snapshot) string {
	if s.Since > 0 {
		return "delta"
	}
	return "snapshot"
}

// ServeHTTP sends the copies that a peer asks for.
func (s *stateServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	names := query[parameterCopy]
	if !query.Has(parameterSince) || len(names) != 1 {
		s.serveEarlierBuild(w, r, names)
		return
	}
	name := names[0]
	since, err := strconv.ParseInt(query.Get(parameterSince), 10, 64)
	m, ok := s.copies[name]
	if err != nil || !ok || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reader := servedReader{address: query.Get(parameterReader), domain: fleet.FailureDomain(query.Get(parameterDomain))}
	if revision := m.Revision(); revision == 0 || int64(revision) < since || !s.complete(name) {
		s.refuse(w, name, refusedNoCopy, reader)
		return
	}
	release, ok := s.reserve(name, since == 0, reader.domain)
	if !ok {
		s.refuse(w, name, refusedBusy, reader)
		return
	}
	encoded, err := s.encode(name, m, kv.Revision(since))
	if err != nil {
		release(0)
		klog.ErrorS(err, "Failed to encode a copy of the store's keys", "copy", name)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if since != 0 && len(encoded.body) >= largeResponseBytes {
		if release, ok = s.reserve(name, true, reader.domain); !ok {
			s.refuse(w, name, refusedBusy, reader)
			return
		}
	}
	defer release(len(encoded.body))
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(encoded.body)))
	header.Set(headerStateAge, strconv.FormatInt(time.Since(encoded.encoded).Milliseconds()+1, 10))
	if encoded.compressed {
		header.Set("Content-Encoding", "gzip")
	}
	if err := writeInTime(w, encoded.body); err != nil {
		return // the reader reads from another instance
	}
	scope := s.metrics.Tagged(map[string]string{"copy": name, "kind": encoded.kind})
	scope.Counter("copies_served").Inc(1)
	scope.Counter("copies_served_bytes").Inc(int64(len(encoded.body)))
	if encoded.kind == "snapshot" {
		s.recordServed(name, reader)
	}
}

// writeInTime writes the body of a response. The write fails after transferTime, so that a reader with a bad link does not keep a slot.
func writeInTime(w http.ResponseWriter, body []byte) error {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(transferTime(int64(len(body))))) // connections without deadlines only occur in tests
	if _, err := w.Write(body); err != nil {
		return err
	}
	_ = control.SetWriteDeadline(time.Time{}) // the connection may be used again
	return nil
}

// transferTime returns the time that a response of a size in bytes may take, without the time until its first byte.
func transferTime(size int64) time.Duration {
	return peerCallTimeout + time.Duration(size)*time.Second/minTransferRate
}

// reserve takes a slot for a large response and returns the function that frees it, given the size of the response in bytes. It returns false if
// there is no slot. Small responses need none.
func (s *stateServer) reserve(name string, large bool, domain fleet.FailureDomain) (release func(size int), ok bool) {
	if !large {
		return func(int) {}, true
	}
	slots := []chan struct{}{s.large[name]}
	if domain != "" && s.topology.Distance(s.domain, domain) == fleet.OtherRegion {
		slots = append(slots, s.crossing[name])
	}
	free := func(taken []chan struct{}) {
		for _, slot := range taken {
			<-slot
		}
	}
	for i, slot := range slots {
		select {
		case slot <- struct{}{}:
		default:
			free(slots[:i])
			return nil, false
		}
	}
	return func(size int) {
		if size < largeResponseBytes {
			free(slots)
			return
		}
		time.AfterFunc(time.Duration(size)*time.Second/largeResponseRate, func() { free(slots) })
	}, true
}

// refuse sends a response with status 503, which names other sources.
func (s *stateServer) refuse(w http.ResponseWriter, name, reason string, reader servedReader) {
	s.metrics.Tagged(map[string]string{"copy": name, "reason": reason}).Counter("copies_refused").Inc(1)
	body, err := json.Marshal(refusal{Busy: reason == refusedBusy, Sources: s.referrals(name, reader, time.Now())})
	if err != nil {
		klog.ErrorS(err, "Failed to encode a refusal")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(body)
}

// recordServed records that a reader has a copy from now on.
func (s *stateServer) recordServed(name string, reader servedReader) {
	if reader.address == "" {
		return
	}
	reader.at = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	served := slices.DeleteFunc(s.served[name], func(r servedReader) bool { return r.address == reader.address })
	served = append(served, reader)
	s.served[name] = served[max(0, len(served)-maxServed):]
}

// referrals returns the addresses of readers that were sent a copy lately, the nearest to the given one first.
func (s *stateServer) referrals(name string, reader servedReader, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nearestServed(s.served[name], reader, s.topology, now)
}

// nearestServed returns up to maxReferrals addresses in served: the nearest ones to a reader, in random order among equally near ones.
func nearestServed(served []servedReader, reader servedReader, topology fleet.Topology, now time.Time) []string {
	candidates := slices.DeleteFunc(slices.Clone(served), func(r servedReader) bool { return r.address == reader.address || now.Sub(r.at) > servedTTL })
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b servedReader) int {
		return int(topology.Distance(reader.domain, a.domain)) - int(topology.Distance(reader.domain, b.domain))
	})
	var addresses []string
	for _, r := range candidates[:min(len(candidates), maxReferrals)] {
		addresses = append(addresses, r.address)
	}
	return addresses
}

// encode returns the changes of a copy since a revision, or the whole copy. It is encoded once for all readers that ask for the same.
func (s *stateServer) encode(name string, m *kvmirror.Mirror, since kv.Revision) (*encodedCopy, error) {
	if known := s.cached(encodedKey{name, since, m.Generation()}); known != nil {
		return known, nil
	}
	s.encoding.Lock()
	defer s.encoding.Unlock()
	if known := s.cached(encodedKey{name, since, m.Generation()}); known != nil {
		return known, nil
	}
	snapshot, generation := m.Since(since)
	if since != 0 && snapshot.Since == 0 { // the same for all readers whose changes are unknown
		since = 0
		if known := s.cached(encodedKey{name, since, generation}); known != nil {
			return known, nil
		}
	}
	encoded := &encodedCopy{kind: kindOf(snapshot), encoded: time.Now()}
	raw, err := json.Marshal(map[string]kvmirror.Snapshot{name: snapshot})
	if err != nil {
		return nil, err
	}
	encoded.body = raw
	if len(raw) >= minCompressedBytes {
		encoded.body, encoded.compressed = s.compress(raw), true
	}
	s.keep(encodedKey{name, since, generation}, encoded)
	return encoded, nil
}

// relay keeps the body of a whole copy that was just merged into the mirror, so that it need not be encoded again for other readers.
func (s *stateServer) relay(name string, m *kvmirror.Mirror, received receivedCopy) {
	snapshot := received.snapshot
	if snapshot.Since != 0 || snapshot.Digest == 0 || !received.compressed {
		return
	}
	if generation, ok := m.GenerationOf(snapshot.Revision, snapshot.Digest); ok {
		s.keep(encodedKey{name, 0, generation}, &encodedCopy{body: received.body, compressed: true, kind: kindOf(snapshot), encoded: received.asked})
	}
}

// compress returns raw in gzip format; s.encoding is held.
func (s *stateServer) compress(raw []byte) []byte {
	var out bytes.Buffer
	if s.writer == nil {
		s.writer, _ = gzip.NewWriterLevel(&out, gzip.BestSpeed) // the level is valid
	}
	s.writer.Reset(&out)
	_, _ = s.writer.Write(raw) // a buffer takes everything
	_ = s.writer.Close()
	return out.Bytes()
}

func (s *stateServer) cached(key encodedKey) *encodedCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache[key]
}

// keep adds to the cache what was encoded, and drops what is no longer current or does not fit.
func (s *stateServer) keep(key encodedKey, encoded *encodedCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, ok := s.cache[key]; ok {
		s.bytes -= len(before.body)
		s.order = slices.DeleteFunc(s.order, func(k encodedKey) bool { return k == key })
	}
	s.order = append(s.order, key)
	s.cache[key] = encoded
	s.bytes += len(encoded.body)
	s.order = slices.DeleteFunc(s.order, func(k encodedKey) bool {
		if s.bytes <= maxCachedBytes && (k.copy != key.copy || k.generation == key.generation) {
			return false
		}
		s.bytes -= len(s.cache[k].body)
		delete(s.cache, k)
		return true
	})
}

// serveEarlierBuild sends whole copies, without a cache: readers of earlier builds do not add the time in the cache to the age of the horizon. Their
// clients decompress responses without being told to.
func (s *stateServer) serveEarlierBuild(w http.ResponseWriter, r *http.Request, names []string) {
	state := make(map[string]kvmirror.Snapshot)
	for name, m := range s.copies {
		if !slices.Contains(names, name) || !s.complete(name) {
			continue
		}
		release, ok := s.reserve(name, true, s.domain)
		if !ok {
			s.refuse(w, name, refusedBusy, servedReader{})
			return
		}
		defer release(0)
		state[name] = m.Snapshot()
	}
	body, err := json.Marshal(state)
	if err != nil {
		klog.ErrorS(err, "Failed to encode copies of the store's keys")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) >= minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		s.encoding.Lock()
		body = s.compress(body)
		s.encoding.Unlock()
		w.Header().Set("Content-Encoding", "gzip")
	}
	s.metrics.Tagged(map[string]string{"copy": "earlier_build", "kind": "snapshot"}).Counter("copies_served_bytes").Inc(int64(len(body)))
	_ = writeInTime(w, body) // a peer whose connection failed reads from another instance
}
