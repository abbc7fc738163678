package experiments

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/fleet"
)

const (
	faultShare  = 0.7
	beforeFault = 30 * time.Second
	afterFault  = 45 * time.Second
	// window and windowStep are the intervals whose p99 tells whether the fleet has recovered.
	window     = 5 * time.Second
	windowStep = time.Second
	recovered  = 1.2 // times the p99 before the fault
	// issueEvery is the interval between non-idempotent calls during a fault experiment.
	issueEvery = 500 * time.Millisecond
)

type fault struct {
	name   string
	lasts  time.Duration
	inject func(*run)
	mend   func(*run)
}

func faultCases() []fault {
	return []fault{
		{name: "target-lost", inject: func(r *run) { r.fleet.StopTarget("engine-1") }},
		{name: "instance-lost", inject: func(r *run) { require.NoError(r, r.fleet.Crash(r.fleet.Instances[0])) }},
		{name: "domain-lost", inject: func(r *run) { r.loseDomain(r.setup.deployment.Domains()[1]) }},
		{name: "regions-parted", lasts: time.Minute, inject: (*run).part, mend: func(r *run) { r.network.Heal() }},
		{name: "store-down", lasts: 10 * time.Minute, inject: func(r *run) { r.fleet.Store.Down(true) }, mend: func(r *run) { r.fleet.Store.Down(false) }},
		{name: "platform-silent", inject: func(r *run) { r.silence(false) }},
		{name: "all-silent", inject: func(r *run) { r.silence(true) }},
	}
}

// loseDomain crashes every engine, service and instance of a failure domain.
func (r *run) loseDomain(domain corefleet.FailureDomain) {
	domains := r.setup.deployment.Domains()
	for _, i := range r.fleet.Instances {
		if i.Domain == domain {
			require.NoError(r, r.fleet.Crash(i))
		}
	}
	lost := func(part string, i int) {
		if domains[i%len(domains)] == domain {
			r.network.Crash(r.network.Names(part)...)
			r.fleet.StopTarget(corefleet.TargetID(part))
		}
	}
	for i := range r.fleet.Engines {
		n := 0
		_, err := fmt.Sscanf(string(i), "engine-%d", &n)
		require.NoError(r, err)
		lost(string(i), n-1)
	}
	for i := range len(r.fleet.Services) {
		lost(fmt.Sprintf("%s-%d", r.setup.deployment.Service, i+1), i)
	}
}

// part separates the second region, with its callers, from the first.
func (r *run) part() {
	d := r.setup.deployment
	regions := map[corefleet.Region][]string{}
	add := func(domain corefleet.FailureDomain, names ...string) {
		region := d.Topology().RegionOf[domain]
		regions[region] = append(regions[region], names...)
	}
	domains := d.Domains()
	add(d.StoreDomain, r.network.Names("store")...)
	add(d.StoreDomain, r.network.Names("list")...)
	for i := range d.Replicas {
		add(domains[i%len(domains)], r.network.Names(fmt.Sprintf("engine-%d", i+1))...)
	}
	for i := range len(r.fleet.Services) {
		add(domains[i%len(domains)], r.network.Names(fmt.Sprintf("%s-%d", d.Service, i+1))...)
	}
	for _, i := range r.fleet.Instances {
		add(i.Domain, r.network.Names(string(i.ID))...)
	}
	for _, domain := range domains {
		for i := range callersPerDomain {
			add(domain, fmt.Sprintf("caller-%s-%d", domain, i))
		}
	}
	r.network.Partition(regions[d.Regions[0].Name], regions[d.Regions[1].Name])
}

// silence makes the open connections to the platform, the targets and the peers silent, with callers those of the callers as well.
func (r *run) silence(callers bool) {
	kept := map[string]bool{}
	if !callers {
		for _, i := range r.fleet.Instances {
			kept[i.Settings.Listen.Callers] = true
		}
	}
	for part := range r.fleet.Addresses {
		r.network.Silence(r.fleet.Addresses[part])
	}
	for _, i := range r.fleet.Instances {
		for _, address := range r.network.Names(string(i.ID))[1:] {
			if !kept[address] {
				r.network.Silence(address)
			}
		}
	}
}

// Measures failed requests, time to recover and violations when faults come in the midst of the load.
func TestFaults(t *testing.T) {
	needFlag(t)
	results := &Results{Experiment: "faults", Columns: []string{
		"p99_before_ms", "p99_after_ms", "recovery_s", "failed", "failed_not_run", "failed_told", "failed_no_answer", "violations", "ran_twice", "service_runs", "requests"}}
	deployments := []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()}
	cases := faultCases()
	values := make([][]float64, len(cases)*len(deployments))
	t.Run("all", func(t *testing.T) {
		for i := range values {
			d, f := deployments[i/len(cases)], cases[i%len(cases)]
			t.Run(d.Name+"-"+f.name, func(t *testing.T) {
				t.Parallel()
				s := setup{deployment: d, engine: EngineOptions(250 * time.Millisecond), seed: 1}
				virtual(t, s, func(r *run) { values[i] = measureFault(r, f) })
			})
		}
	})
	for i, v := range values {
		if v != nil {
			results.Add(deployments[i/len(cases)].Name+" "+cases[i%len(cases)].name, v...)
		}
	}
	report(t, results)
}

func measureFault(r *run, f fault) []float64 {
	at := warmUp + beforeFault
	l := Load{Seed: r.setup.seed, Rate: faultShare * r.setup.capacity(), Duration: at + f.lasts + afterFault}
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(at)
		f.inject(r)
		time.Sleep(f.lasts)
		if f.mend != nil {
			f.mend(r)
		}
	})
	keys := r.issue(&group, l.Duration)
	outcomes := after(warmUp, r.callers.Run(l.Arrivals()))
	group.Wait()
	return r.faultRow(outcomes, at, keys)
}

// issue calls a non-idempotent operation regularly, resends each unanswered call once at another instance, and returns the keys.
func (r *run) issue(group *sync.WaitGroup, during time.Duration) []string {
	var keys []string
	for at := time.Duration(0); at < during; at += issueEvery {
		keys = append(keys, fmt.Sprintf("key-%d", len(keys)))
	}
	group.Go(func() {
		for i, key := range keys {
			time.Sleep(issueEvery)
			group.Go(func() {
				if !r.call(i, key) {
					r.call(i+1, key)
				}
			})
		}
	})
	return keys
}

// call returns whether the call was answered with success.
func (r *run) call(i int, key string) bool {
	m := r.callers.members[i%len(r.callers.members)]
	known := m.entrypoints()
	if len(known) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), callerPatience)
	defer cancel()
	url := "http://" + known[i%len(known)].Address + "/v1/services/" + r.setup.deployment.Service + "/" + fleet.IssueOperation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"lamp":"brass"}`))
	require.NoError(r, err)
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	resp, err := m.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (r *run) faultRow(outcomes []Outcome, at time.Duration, keys []string) []float64 {
	var before, later []Outcome
	notRun, told, none := 0, 0, 0
	for _, o := range outcomes {
		if o.At < at {
			before = append(before, o)
		} else {
			later = append(later, o)
		}
		switch {
		case !o.Failed():
			continue
		case o.NotRun:
			notRun++
		case o.Told:
			told++
		case o.Status == 0 || o.Err != nil:
			none++
		}
	}
	r.logFailures(outcomes)
	twice := 0
	for _, key := range keys {
		twice += max(r.fleet.Ledger.OfKey(key)-1, 0)
	}
	base := firstTokens(before).Ms(99)
	return []float64{base, firstTokens(later).Ms(99), recovery(outcomes, at, base), float64(failed(outcomes)), float64(notRun), float64(told), float64(none),
		float64(r.violations(outcomes)), float64(twice), float64(len(r.fleet.Ledger.Executions())), float64(len(outcomes))}
}

// recovery returns the seconds from the fault to the first window whose p99 and that of the next are within bounds, -1 if there is none.
func recovery(outcomes []Outcome, at time.Duration, base float64) float64 {
	good := 0
	last := outcomes[len(outcomes)-1].At
	for from := at; from+window <= last; from += windowStep {
		l := NewLatencies()
		for _, o := range outcomes {
			if o.At < from || o.At >= from+window {
				continue
			}
			if o.Failed() || o.FirstToken == 0 {
				l.Record(latencyMost)
			} else {
				l.Record(o.FirstToken)
			}
		}
		if l.Ms(99) > recovered*base {
			good = 0
			continue
		}
		good++
		if good == 2 {
			return (from - windowStep - at).Seconds()
		}
	}
	return -1
}
