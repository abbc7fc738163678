package sessions

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/standin/fleet"
)

// session is one recorded session on a virtual fleet.
type session struct {
	t       *testing.T
	fleet   *fleet.Fleet
	network *fleet.Virtual
	client  *http.Client

	mu     sync.Mutex // guards the fields below
	start  time.Time
	events []event
	ids    map[string]string // last upstream id of each caller's request
	onPost func(part, id string)

	reachedMinimum bool // the rolled model has served in its least number
}

// event is one line of the golden file. Events of the same millisecond are ordered by their text, since goroutines that run at the same
// virtual time have no order.
type event struct {
	at   time.Duration
	text string
}

// silence drops the log lines. Sessions may run at once, so that the logger is set only once.
var silence = sync.OnceFunc(func() { klog.SetLogger(logr.Discard()) })

// caller is the name of the part that sends requests.
const caller = "caller"

// newSession starts a fleet on virtual time and waits until it serves. It must run inside a synctest bubble.
func newSession(t *testing.T, adjust func(*fleet.Options)) *session {
	silence()
	deployment := fleet.Draadwerk()
	s := &session{t: t, network: fleet.NewVirtual(deployment)}
	options := fleet.Options{
		Deployment: deployment,
		Network:    s.network,
		Instances:  3,
		Folder:     t.TempDir(),
		Seed:       1,
		Observe:    s.observe,
	}
	if adjust != nil {
		adjust(&options)
	}
	f, err := fleet.Start(options)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	s.fleet = f
	s.network.Place(caller, "randstad-a")
	s.network.Place("operator", "randstad-a")
	s.client = f.HTTPClient(caller)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.Roll(ctx, deployment.Document(1)))
	require.NoError(t, f.AwaitReady(ctx))
	time.Sleep(settle)
	s.mu.Lock()
	s.start = time.Now()
	s.mu.Unlock()
	return s
}

// poolPause is virtual time in which ended connections return to their pools.
const poolPause = 20 * time.Millisecond

// settle is virtual time in which the platform's lists and the probes come to rest.
const settle = 5 * time.Second

func (s *session) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event{at: time.Since(s.start), text: fmt.Sprintf(format, args...)})
}

// upstreamTime is the part of an upstream request id that is the process's start.
var upstreamTime = regexp.MustCompile(`\.(instance-\d+)\.[0-9a-f]+\.(\d+)`)

// observe notes the calls of requests at targets; polls and control calls are left out.
func (s *session) observe(part string, r *http.Request) {
	serving := strings.HasPrefix(r.URL.Path, "/v1/") || r.Method == http.MethodPost && strings.HasPrefix(part, s.serviceName())
	if !serving || s.fleet == nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if r.Method == http.MethodPost {
		s.posted(part, id)
	}
	path := r.URL.Path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.note("%s <- %s %s %s", part, r.Method, upstreamTime.ReplaceAllString(path, ".$1.T.$2"), upstreamTime.ReplaceAllString(id, ".$1.T.$2"))
}

func (s *session) posted(part, id string) {
	s.mu.Lock()
	if s.ids == nil {
		s.ids = make(map[string]string)
	}
	name, _, _ := strings.Cut(id, ".")
	s.ids[name] = id
	hook := s.onPost
	s.mu.Unlock()
	if hook != nil {
		hook(part, id)
	}
}

// upstream returns the upstream id of a caller's request.
func (s *session) upstream(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[name]
}

func (s *session) serviceName() string { return fleet.Draadwerk().Service }

// request is what a caller sends.
type request struct {
	instance int // index of the entry instance
	path     string
	id       string
	key      string // Idempotency-Key
	body     string
	apiKey   string
	timeout  time.Duration // X-Request-Timeout-Ms
	leaves   int           // event after which the caller gives up; 0 means never
}

// answer is what came back.
type answer struct {
	status int
	header http.Header
	body   string
	closes bool // the instance asked to close the connection
	err    error
}

func chat(instance int, id string, stream bool, tokens int) request {
	body := fmt.Sprintf(`{"model":"bench-assist","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Which plug fits a two-core flex of %s?"}]}`, stream, tokens, id)
	return request{instance: instance, path: "/v1/chat/completions", id: id, body: body}
}

func issue(instance int, id, key string) request {
	return request{instance: instance, path: "/v1/services/quotes/issue", id: id, key: key, body: `{"lamp":"brass"}`}
}

// send sends the request and notes it with its answer. onEvent is called for each event of a stream, with its number from 0.
func (s *session) send(r request, onEvent func(n int)) answer {
	s.note("%s -> instance-%d POST %s id=%s key=%s", caller, r.instance+1, r.path, r.id, r.key)
	a := s.do(r, onEvent)
	if a.err != nil && a.body == "" {
		s.note("%s <- error %s", caller, kindOf(a.err))
		return a
	}
	s.note("%s <- instance-%d status %d%s\n%s", caller, r.instance+1, a.status, replayMark(a.header), indent(a.body))
	if a.err != nil {
		s.note("%s <- error %s", caller, kindOf(a.err))
	}
	return a
}

func replayMark(h http.Header) string {
	if h.Get("X-Idempotent-Replay") != "" {
		return " (replayed)"
	}
	return ""
}

// kindOf shortens transport errors, whose text has addresses.
func kindOf(err error) string {
	if strings.Contains(err.Error(), "EOF") || strings.Contains(err.Error(), "reset") {
		return "connection lost"
	}
	if strings.Contains(err.Error(), "refused") {
		return "connection refused"
	}
	return err.Error()
}

func (s *session) do(r request, onEvent func(n int)) answer {
	url := "http://" + s.fleet.Instances[r.instance].Settings.Listen.Callers + r.path
	ctx, leave := context.WithCancel(s.t.Context())
	defer leave()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(r.body))
	require.NoError(s.t, err)
	apiKey := r.apiKey
	if apiKey == "" {
		apiKey = fleet.APIKey
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", r.id)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.timeout > 0 {
		req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body, func(n int) {
		if onEvent != nil {
			onEvent(n)
		}
		if r.leaves > 0 && n == r.leaves {
			leave()
		}
	})
	// Ended connections return to their pools in goroutines of their own; without this pause, the next request would find them or not.
	defer time.Sleep(poolPause)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, closes: resp.Close, err: err}
}

func readBody(r io.Reader, onEvent func(n int)) (string, error) {
	var out bytes.Buffer
	lines := bufio.NewReader(r)
	for n := 0; ; {
		line, err := lines.ReadString('\n')
		out.WriteString(line)
		if strings.HasPrefix(line, "data: ") {
			if onEvent != nil {
				onEvent(n)
			}
			n++
		}
		if err == io.EOF {
			return out.String(), nil
		}
		if err != nil {
			return out.String(), err
		}
	}
}

func indent(body string) string {
	trimmed := strings.TrimRight(body, "\n")
	return "    " + strings.ReplaceAll(trimmed, "\n", "\n    ")
}

// created is the time of an engine's answer, which depends on how long the fleet took to start.
var created = regexp.MustCompile(`"created":\d+`)

// golden returns the session's text: events by time, then the decisions about each request.
func (s *session) golden(requests ...string) []byte {
	s.mu.Lock()
	events := append([]event(nil), s.events...)
	s.mu.Unlock()
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i].at.Milliseconds(), events[j].at.Milliseconds()
		if a != b {
			return a < b
		}
		return events[i].text < events[j].text
	})
	var out bytes.Buffer
	for _, e := range events {
		fmt.Fprintf(&out, "@%dms %s\n", e.at.Milliseconds(), upstreamTime.ReplaceAllString(created.ReplaceAllString(e.text, `"created":T`), ".$1.T.$2"))
	}
	for _, id := range requests {
		s.decisions(&out, id)
	}
	return out.Bytes()
}

func (s *session) decisions(out *bytes.Buffer, id string) {
	fmt.Fprintf(out, "\ndecisions about %s\n", id)
	for _, i := range s.fleet.Instances {
		for _, line := range i.Daemon.Board().Decisions.Find(corefleet.RequestID(id)) {
			var e decisionlog.Entry
			require.NoError(s.t, json.Unmarshal([]byte(line), &e))
			fmt.Fprintf(out, "%s %s %s attempt=%d target=%s generation=%d: %s\n", s.timeOf(e), e.Instance, e.Kind, e.Attempt, e.Target, e.Generation,
				upstreamTime.ReplaceAllString(addresses.ReplaceAllString(e.Reason, "ADDRESS"), ".$1.T.$2"))
			for _, c := range e.Candidates {
				if c.Rejected != "" {
					fmt.Fprintf(out, "    %s rejected: %s\n", c.Target, c.Rejected)
				}
			}
		}
	}
}

// timeOf returns when a decision was taken. Orders of placement have no time here: the pass of a controller that several changes
// trigger at the same virtual time starts in one order or the other, which moves its orders by some milliseconds.
func (s *session) timeOf(e decisionlog.Entry) string {
	if e.Kind == decisionlog.KindPlacement {
		return "-"
	}
	return fmt.Sprintf("@%dms", e.At.Sub(s.start).Milliseconds())
}

// addresses are the virtual network's, whose numbers depend on the size of the fleet.
var addresses = regexp.MustCompile(`10\.\d+\.\d+\.\d+:\d+`)
