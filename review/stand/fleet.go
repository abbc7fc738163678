package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"eelgrassproxy.example/platform/standin"
)

// Values of the settings of a small deployment, as the platform's pages show them.
const (
	graceS       = 8
	memoryMB     = 134
	hostName     = "nony24.example"
	service      = "huvo11a"
	otherService = "dele69a"
	restartDelay = 500 * time.Millisecond
	readyWithin  = 15 * time.Second
	beat         = 1200 * time.Millisecond
)

// fleet is the platform of one case: its store, replicas, and the instances of eelgrassproxy as processes.
type fleet struct {
	binary, root, folder string
	network              string // first three numbers of all addresses
	port                 int    // first of the ports of an instance
	store                *standin.Store
	ledger               *standin.Ledger
	replicas             []*standin.Target
	instances            []*process
	servers              []*http.Server
	replicaServers       map[string]*http.Server // by the id of the replica
	record               *record
	limitMemory          bool
	slowStore            bool     // the store answers after storeAnswer; set before start
	dead                 sync.Map // ids of the replicas that crashed
}

// Offsets of an instance's ports.
const (
	portFront = iota
	portReady
	portDirectory
	portControl
	portPeer
	portReplica
	portStore
)

func newFleet(binary, root, folder string, rec *record) (*fleet, error) {
	f := &fleet{binary: binary, root: root, folder: folder, store: standin.NewStore(), ledger: &standin.Ledger{}, record: rec, replicaServers: make(map[string]*http.Server)}
	for range 20 {
		f.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		f.port = 20000 + rand.IntN(1000)*10
		if f.portsAreFree() {
			return f, f.serve(f.address(1, portStore), f.delayed(f.store))
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// storeAnswer is how long the platform's store takes for an answer, as the sheets say.
const storeAnswer = 4 * time.Millisecond

// delayed lets the store answer as late as the sheets say. Watches wait by themselves.
func (f *fleet) delayed(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.slowStore && r.URL.Path != "/-/kv-watch" {
			time.Sleep(storeAnswer)
		}
		store.ServeHTTP(w, r)
	})
}

func (f *fleet) portsAreFree() bool {
	for _, host := range []int{1, 10, 11, 12, 13, 100, 101, 102, 103} {
		for port := range 8 {
			l, err := net.Listen("tcp", f.address(host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (f *fleet) host(n int) string { return f.network + strconv.Itoa(n) }

func (f *fleet) address(host, port int) string {
	return net.JoinHostPort(f.host(host), strconv.Itoa(f.port+port))
}

func (f *fleet) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
	return nil
}

// addReplica starts a sound replica. wrap may replace its handler.
func (f *fleet) addReplica(events int, pause time.Duration, wrap func(*standin.Target) http.Handler) error {
	return f.addReplicaOf(service, events, pause, wrap)
}

// addReplicaOf starts a sound replica of a service.
func (f *fleet) addReplicaOf(service string, events int, pause time.Duration, wrap func(*standin.Target) http.Handler) error {
	n := len(f.replicas)
	address, zone := f.address(100+n, portReplica), zones[n%len(zones)]
	if service == otherService {
		zone = zones[len(zones)-1] // a small service, which stands in one zone
	}
	t := &standin.Target{ID: fmt.Sprintf("i-%010x", 0xd00495c352+n), Service: service, Addr: address, Zone: zone, Slots: 8, Events: events, Pause: pause, Ledger: f.ledger}
	var handler http.Handler = t
	if wrap != nil {
		handler = wrap(t)
	}
	if err := f.serve(address, handler); err != nil {
		return err
	}
	f.replicaServers[t.ID] = f.servers[len(f.servers)-1]
	f.replicas = append(f.replicas, t)
	t.Register(f.store, "ready")
	return nil
}

var zones = []string{"sthlm-a", "uppsala-b", "gbg-a"}

// route is a route of the operator's configuration.
type route map[string]any

func streamRoute(name string) route {
	return route{"name": name, "host": hostName, "prefix": "/" + name + "/", "kind": "stream", "timeout_ms": 5000, "slo_ms": 300, "priority": 0,
		"service": service, "max_attempts": 1, "sticky": true, "resumable": false, "gap_slo_ms": 200}
}

func batchRoute(name string) route {
	return route{"name": name, "host": hostName, "prefix": "/" + name + "/", "kind": "batch", "timeout_ms": 15000, "slo_ms": 400, "run_slo_ms": 18000,
		"retain_s": 60, "cap": 1300000, "priority": 2, "service": service, "max_attempts": 3, "sticky": true, "resumable": true, "gap_slo_ms": 200}
}

// configure writes a version of the configuration as the operator does.
func (f *fleet) configure(version int, routes ...route) error {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{serviceOf(service), serviceOf(otherService)},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err == nil {
		f.store.Put("op/config", data)
	}
	return err
}

func serviceOf(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false}
}

// beatAll lets the replicas that live write their entries once a beat, as the platform's pages say, until the returned function is called.
func (f *fleet) beatAll() (stop func()) {
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-time.After(beat):
			case <-stopped:
				return
			}
			for _, r := range f.replicas {
				if _, dead := f.dead.Load(r.ID); !dead {
					r.Register(f.store, "ready")
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// start starts the instances and waits until they are ready.
func (f *fleet) start(instances int) error {
	for n := range instances {
		p := &process{fleet: f, name: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], n), n: n}
		f.instances = append(f.instances, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(readyWithin)
	for _, p := range f.instances {
		for !p.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(1500 * time.Millisecond) // until the instances know each other
	return nil
}

// stop ends all that the case started.
func (f *fleet) stop() {
	for _, p := range f.instances {
		p.stop()
	}
	f.store.Close()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// process is one instance, over all of its restarts.
type process struct {
	fleet *fleet
	name  string
	n     int

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	ended   chan struct{}
	closing bool
	changed time.Time   // when the process was started or got a signal
	killed  []time.Time // ends because of its memory
	peak    int64       // largest resident memory seen, in bytes
}

func (p *process) address(port int) string { return p.fleet.address(10+p.n, port) }

func (p *process) settings() (string, error) {
	f := p.fleet
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, f.address(10+n, portControl))
	}
	zone := zones[p.n%len(zones)]
	regions := map[string]string{"sthlm-a": "svealand", "uppsala-b": "svealand", "gbg-a": "gotaland"}
	data, err := json.Marshal(map[string]any{
		"node": p.name, "role": "gateway", "class": "front", "serves": []string{"front", "directory", "control"}, "ip": f.host(10 + p.n),
		"zone": zone, "region": regions[zone], "zones": regions,
		"listen":     map[string]string{"front": p.address(portFront), "ready_addr": p.address(portReady), "directory": p.address(portDirectory), "control": p.address(portControl)},
		"port_range": []int{f.port + portPeer, f.port + portPeer}, "seeds": seeds, "bootstrap": false, "loss_counted": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "directory", "beat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "platform"},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "sync_s": 4.7, "drain_ms": 2500, "grace_s": graceS,
			"lost_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "skew_ms": 6000, "recover_s": 12, "pass_ms": 250, "finish_s": 18,
			"status_s": 120, "cancel_ms": 3000, "settle_ms": 1000, "quota_excess": 0.1, "ttl_max_s": 5},
		"platform": map[string]any{"addr": f.address(1, portStore), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000},
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.folder, p.name+".json")
	return file, os.WriteFile(file, data, 0o644)
}

// start begins a process with the command of the deploy file.
func (p *process) start() error {
	file, err := p.settings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(p.fleet.binary, "platform", "-metrics-port", "9464")
	c.Dir = p.fleet.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EELGRASSPROXY_BOOT=" + file}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended, p.changed = c, ended, time.Now()
	p.mu.Unlock()
	if p.fleet.limitMemory {
		go p.watchMemory(c, ended)
	}
	go func() {
		err := c.Wait()
		log.Close()
		close(ended)
		p.mu.Lock()
		closing := p.closing
		p.mu.Unlock()
		p.fleet.record.add("platform   %s ended: %v", p.name, err)
		if closing {
			return
		}
		time.Sleep(restartDelay)
		p.mu.Lock()
		closing = p.closing
		p.mu.Unlock()
		if !closing {
			p.fleet.record.add("platform   %s is started again", p.name)
			_ = p.start()
		}
	}()
	return nil
}

// watchMemory kills the process when it uses more memory than its limit, as the platform does.
func (p *process) watchMemory(c *exec.Cmd, ended chan struct{}) {
	file := fmt.Sprintf("/proc/%d/statm", c.Process.Pid)
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		data, err := os.ReadFile(file)
		fields := strings.Fields(string(data))
		if err != nil || len(fields) < 3 {
			return
		}
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		shared, _ := strconv.ParseInt(fields[2], 10, 64)
		used := (pages - shared) * int64(os.Getpagesize()) // without the pages of the program's file
		p.mu.Lock()
		p.peak = max(p.peak, used)
		p.mu.Unlock()
		if used > memoryMB<<20 {
			p.mu.Lock()
			p.killed = append(p.killed, time.Now())
			count := len(p.killed)
			p.mu.Unlock()
			p.fleet.record.add("platform   %s uses %d MB, its limit is %d MB: killed, for the %d. time", p.name, used>>20, memoryMB, count)
			_ = c.Process.Kill()
			return
		}
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (p *process) terminate() {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.changed = time.Now()
	p.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(graceS * time.Second):
			p.fleet.record.add("platform   %s gets SIGKILL at the end of its grace period", p.name)
			_ = c.Process.Kill()
		}
	}()
}

// remove takes the machine away for good: SIGTERM, SIGKILL after the grace period, and no other start.
func (p *process) remove() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.terminate()
}

func (p *process) stop() {
	p.mu.Lock()
	p.closing = true
	c, ended := p.command, p.ended
	p.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-ended
	}
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.address(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// contact is contact_ms of the settings.
const contact = 4 * time.Second

// calmFor tells whether the process runs, and was neither started nor stopped for so long.
func (p *process) calmFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.changed) >= d
}

// senderOf returns the instance that has a connection with this address as its own end, nil if none has.
func (f *fleet) senderOf(remote string) *process {
	inode := inodeOf(remote)
	if inode == "" {
		return nil
	}
	for _, p := range f.instances {
		p.mu.Lock()
		pid := p.command.Process.Pid
		p.mu.Unlock()
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		entries, _ := os.ReadDir(folder) // none if the process has ended
		for _, e := range entries {
			if link, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && link == "socket:["+inode+"]" {
				return p
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket whose own end is an IPv4 address and port, "" if there is none.
func inodeOf(address string) string {
	host, port, err := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	number, errPort := strconv.Atoi(port)
	data, errRead := os.ReadFile("/proc/net/tcp")
	if err != nil || errPort != nil || errRead != nil || ip == nil {
		return ""
	}
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}
