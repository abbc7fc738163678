package experiments

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/fleet"
)

const (
	callersPerDomain = 6
	// callerPatience is how long a caller waits for the next byte. It is longer than all bounds of the instances, so that whatever
	// reaches it is a request that hangs.
	callerPatience = 15 * time.Second
	entrypointWait = 2 * time.Second
)

// Callers are the client processes of a deployment, some in each failure domain. Each asks for entrypoints and keeps the answer for its
// time to live.
type Callers struct {
	fleet   *fleet.Fleet
	Timeout time.Duration // first-token deadline that callers state; 0 states none
	members []*member
}

// member is one client process.
type member struct {
	callers *Callers
	domain  corefleet.FailureDomain
	client  *http.Client
	apiKey  string

	mu        sync.Mutex // guards the fields below
	addresses []entrypoint
	until     time.Time
}

type entrypoint struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
}

// NewCallers places callers on the fleet's virtual network.
func NewCallers(f *fleet.Fleet, network *fleet.Virtual) *Callers {
	c := &Callers{fleet: f}
	for _, domain := range f.Deployment.Domains() {
		for i := range callersPerDomain {
			part := fmt.Sprintf("caller-%s-%d", domain, i)
			network.Place(part, domain)
			transport := &http.Transport{DialContext: f.Network.Dial(part), DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
			key := fleet.APIKey
			if i%2 == 1 {
				key = fleet.OtherAPIKey
			}
			c.members = append(c.members, &member{callers: c, domain: domain, client: &http.Client{Transport: transport}, apiKey: key})
		}
	}
	return c
}

// Close closes the callers' idle connections.
func (c *Callers) Close() {
	for _, m := range c.members {
		m.client.CloseIdleConnections()
	}
}

// Run sends the arrivals at their times, whatever the answers, and returns the outcomes in order of arrival once all have ended.
func (c *Callers) Run(arrivals []Arrival) []Outcome {
	start := time.Now()
	outcomes := make([]Outcome, len(arrivals))
	var group sync.WaitGroup
	for i, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.At)))
		m := c.members[i%len(c.members)]
		group.Go(func() { outcomes[i] = m.send(a) })
	}
	group.Wait()
	return outcomes
}

// entrypoints returns the addresses to try, asked for again when their time to live is over.
func (m *member) entrypoints() []entrypoint {
	m.mu.Lock()
	known, fresh := m.addresses, time.Now().Before(m.until)
	m.mu.Unlock()
	if fresh {
		return known
	}
	ask := append([]entrypoint(nil), known...)
	for _, i := range m.callers.fleet.Instances {
		ask = append(ask, entrypoint{Address: i.Settings.Listen.Callers})
	}
	for _, e := range ask {
		if m.ask(e.Address) {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses
}

func (m *member) ask(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), entrypointWait)
	defer cancel()
	url := "http://" + address + "/v1/entrypoints?failure_domain=" + string(m.domain)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+m.apiKey)
	resp, err := m.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var list struct {
		TTL         int64        `json:"ttl_ms"`
		Entrypoints []entrypoint `json:"entrypoints"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Entrypoints) == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = list.Entrypoints
	m.until = time.Now().Add(time.Duration(list.TTL) * time.Millisecond)
	return true
}

// send sends one request. An address that refuses the connection is left for the next one, since nothing was sent.
func (m *member) send(a Arrival) Outcome {
	arrived := time.Now()
	o := Outcome{ID: a.ID, At: a.At}
	for _, e := range m.entrypoints() {
		o.Instance = e.Instance
		o.Err = m.try(a, e.Address, arrived, &o)
		if o.Err == nil || !errors.Is(o.Err, syscall.ECONNREFUSED) {
			break
		}
		m.drop(e)
	}
	o.Ended = time.Since(arrived)
	return o
}

// drop forgets an address that refuses connections and asks anew at the next request.
func (m *member) drop(e entrypoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.until = time.Time{}
	var kept []entrypoint
	for _, known := range m.addresses {
		if known != e {
			kept = append(kept, known)
		}
	}
	m.addresses = kept
}

func (m *member) try(a Arrival, address string, arrived time.Time, o *Outcome) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchdog := time.AfterFunc(callerPatience, cancel)
	defer watchdog.Stop()
	url := "http://" + address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.body(m.callers.fleet.Deployment.Model)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+m.apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", a.ID)
	if t := m.callers.Timeout; t > 0 {
		req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(t.Milliseconds()))
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.Status = resp.StatusCode
	var body bytes.Buffer
	err = read(resp.Body, &body, watchdog, func() {
		if o.FirstToken == 0 && o.Status == http.StatusOK {
			o.FirstToken = time.Since(arrived)
		}
	})
	if o.Status == http.StatusOK {
		o.check(a, body.Bytes())
	} else {
		o.refused(body.Bytes())
	}
	return err
}

// read copies the body and calls event for each event.
func read(r io.Reader, out *bytes.Buffer, watchdog *time.Timer, event func()) error {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadSlice('\n')
		out.Write(line)
		if bytes.HasPrefix(line, []byte("data: ")) {
			event()
			watchdog.Reset(callerPatience)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
