package poison_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
)

const (
	contact   = 4 * time.Second // an instance is in touch if it was undisturbed for this long
	guilty    = poison.Part("bad")
	rareParts = 768
	warmUp    = 5 * time.Second
	soundRate = 40 // requests a second
)

// play is one run of a fleet whose instances exchange records by datagrams.
type play struct {
	name      string
	instances int
	targets   int
	seed      uint64
	guilty    func(i int) time.Duration // time of the i-th guilty request after the first
	loss      float64                   // share of datagrams that are lost
	crashes   time.Duration             // mean time between crashes for other reasons; 0 if there are none
	split     [2]time.Duration          // begin and end of a split of the fleet in two halves, after the first guilty request
	restarts  time.Duration             // time in which all instances start again in turn; 0 if they don't
	cold      bool                      // the first request is a guilty one; otherwise the guilty ones begin after warmUp
	length    time.Duration             // time from the first guilty request
}

// outcome is what an observer sees that knows the guilty part.
type outcome struct {
	ended       int           // targets ended by guilty requests
	known       time.Duration // from the first guilty request until all instances in touch block the part
	late        int           // guilty requests let through by instances in touch, later than contact after the fifth crash
	sound       int           // sound requests
	refused     int           // sound requests that were refused
	lastRefused time.Duration // from the first guilty request until the last refusal of a sound one
	otherBlocks int           // sound parts that are blocked at the end, summed over the instances
}

type simTarget struct {
	id      string
	up      bool
	running map[int]*simRequest
}

type simRequest struct {
	id       int
	parts    []poison.Part
	guilty   bool
	repeated bool
	at       *simInstance
	process  int
}

type simInstance struct {
	tracker *poison.Tracker
	process int // 0 while it is down
	side    int
	calm    time.Duration // start of the time without a disturbance
	taught  bool          // a peer has answered since the start
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type sim struct {
	play play
	outcome
	rng       *rand.Rand
	now       time.Duration
	queue     simQueue
	order     int
	instances []*simInstance
	targets   []*simTarget
	ids       int
	start     time.Duration // time of the first guilty request
	fifth     time.Duration // time of the fifth crash
	split     bool
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + d, s.order, run})
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}
func (s *sim) time() time.Time   { return epoch.Add(s.now) }
func (s *sim) any() *simInstance { return s.instances[s.rng.IntN(len(s.instances))] }

// send delivers records to a peer unless they are lost, and what follows from them.
func (s *sim) send(from, to *simInstance, records []poison.Record) {
	if len(records) == 0 || from == to || s.rng.Float64() < s.play.loss || s.split && from.side != to.side {
		return
	}
	s.after(s.between(time.Millisecond, 150*time.Millisecond), func() {
		if to.process == 0 {
			return
		}
		changed, answers := to.tracker.Merge(records, s.time())
		s.spread(to, changed)
		s.send(to, from, answers)
	})
}

// spread tells news to a few peers, which tell it to others if it is news to them.
func (s *sim) spread(from *simInstance, records []poison.Record) {
	for range 4 {
		s.send(from, s.any(), records)
	}
}

// exchange is a round of anti-entropy, and the question of a new process for all that a peer knows.
func (s *sim) exchange(i *simInstance) {
	if i.process > 0 {
		s.send(i, s.any(), i.tracker.Records(8, s.time()))
		if peer := s.any(); !i.taught && peer.process > 0 && peer != i && s.rng.Float64() >= s.play.loss {
			i.taught = true
			s.send(peer, i, peer.tracker.Records(1<<20, s.time()))
		}
	}
	s.after(s.between(900*time.Millisecond, 1100*time.Millisecond), func() { s.exchange(i) })
}

// request sends a request to a random instance, which passes it on to a random target.
func (s *sim) request(r simRequest) {
	r.at = s.any()
	for r.at.process == 0 {
		r.at = s.any()
	}
	r.process = r.at.process
	if !r.guilty {
		s.sound++
	}
	if _, ok := r.at.tracker.Blocked(r.parts); ok {
		if !r.guilty {
			s.refused++
			s.lastRefused = s.now - s.start
		}
		return
	}
	if r.guilty && s.fifth > 0 && s.now > s.fifth+contact && s.now > r.at.calm+contact {
		s.late++
	}
	t := s.targets[s.rng.IntN(len(s.targets))]
	if !t.up {
		s.repeat(r)
		return
	}
	s.ids++
	key := s.ids
	t.running[key] = &r
	d := s.between(300*time.Millisecond, 1500*time.Millisecond)
	if r.guilty {
		d = s.between(50*time.Millisecond, 500*time.Millisecond)
	}
	s.after(d, func() {
		if t.running[key] == nil {
			return
		}
		if r.guilty {
			s.crash(t)
			return
		}
		delete(t.running, key)
		if s.rng.IntN(100) == 0 { // a connection that breaks off, which is no crash
			s.repeat(r)
		} else if r.process == r.at.process {
			s.spread(r.at, r.at.tracker.Completed(r.parts, s.time()))
		}
	})
}

// repeat sends a broken request once more.
func (s *sim) repeat(r simRequest) {
	if !r.repeated {
		r.repeated = true
		s.after(s.between(50*time.Millisecond, 500*time.Millisecond), func() { s.request(r) })
	}
}

// crash ends a target, which starts again after some seconds. Instances see at different times that their requests are broken.
func (s *sim) crash(t *simTarget) {
	if !t.up {
		return
	}
	isGuilty := false
	for _, key := range slices.Sorted(maps.Keys(t.running)) {
		r := t.running[key]
		isGuilty = isGuilty || r.guilty
		c := poison.Crash{Target: fleet.TargetID(t.id), Parts: r.parts, Caller: "acme", Request: fleet.RequestID(fmt.Sprint(r.id))}
		s.after(s.between(time.Millisecond, 300*time.Millisecond), func() {
			if r.process == r.at.process {
				c.At = s.time()
				s.spread(r.at, r.at.tracker.Crashed(c, s.time()))
			}
			s.repeat(*r)
		})
	}
	if isGuilty {
		if s.ended++; s.ended == 5 {
			s.fifth = s.now
		}
	}
	t.up, t.running = false, map[int]*simRequest{}
	s.after(s.between(2500*time.Millisecond, 4*time.Second), func() {
		t.up = true
		if s.rng.IntN(10) > 0 {
			s.ids++
			t.id = fmt.Sprint("target-", s.ids)
		}
	})
}

// restart replaces the process of an instance. The new one knows nothing.
func (s *sim) restart(i *simInstance, down time.Duration) {
	i.process = 0
	s.after(down, func() {
		s.ids++
		i.process, i.tracker, i.calm, i.taught = s.ids, poison.New(poison.DefaultPolicy()), s.now, false
	})
}

// every runs f at random times, on average one period apart.
func (s *sim) every(period time.Duration, f func()) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(period)), func() {
		f()
		s.every(period, f)
	})
}

// run plays the play to its end.
func (p play) run() outcome {
	s := &sim{play: p, rng: rand.New(rand.NewPCG(p.seed, 0)), start: warmUp}
	if p.cold {
		s.start = 0
	}
	for n := range p.instances {
		i := &simInstance{tracker: poison.New(poison.DefaultPolicy()), process: 1, side: n % 2, calm: -contact, taught: true}
		s.instances = append(s.instances, i)
		s.after(s.between(0, time.Second), func() { s.exchange(i) })
	}
	for n := range p.targets {
		s.targets = append(s.targets, &simTarget{id: fmt.Sprint("first-", n), up: true, running: map[int]*simRequest{}})
	}
	parts := func() []poison.Part {
		return []poison.Part{"first", poison.Part(fmt.Sprint("shared-", s.rng.IntN(24))), poison.Part(fmt.Sprint("rare-", s.rng.IntN(rareParts)))}
	}
	s.every(time.Second/soundRate, func() {
		s.ids++
		s.request(simRequest{id: s.ids, parts: parts()})
	})
	for i := 0; p.guilty(i) < p.length; i++ {
		s.after(s.start+p.guilty(i), func() {
			s.ids++
			s.request(simRequest{id: s.ids, guilty: true, parts: slices.Insert(parts(), s.rng.IntN(4), guilty)})
		})
	}
	if p.crashes > 0 {
		s.every(p.crashes, func() { s.crash(s.targets[s.rng.IntN(p.targets)]) })
	}
	if p.split[1] > 0 {
		s.after(s.start+p.split[0], func() { s.split = true })
		s.after(s.start+p.split[1], func() { s.split = false })
	}
	for n, i := range s.instances {
		if p.restarts > 0 {
			s.after(s.start+p.restarts*time.Duration(n)/time.Duration(p.instances), func() { s.restart(i, 300*time.Millisecond) })
		}
	}
	ignorant := func(i *simInstance) bool {
		_, ok := i.tracker.Blocked([]poison.Part{guilty})
		return !ok && i.process > 0 && s.now >= i.calm+contact
	}
	for s.queue.Len() > 0 && s.queue[0].at < s.start+p.length {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if s.known == 0 && s.ended >= poison.DefaultPolicy().Crashes && !slices.ContainsFunc(s.instances, ignorant) {
			s.known = s.now - s.start
		}
	}
	for _, i := range s.instances {
		for _, e := range i.tracker.Entries(s.time()) {
			if e.State == poison.Blocked && e.Part != guilty {
				s.otherBlocks++
			}
		}
	}
	return s.outcome
}

// Rates of guilty requests.
func fiveASecond(i int) time.Duration { return time.Duration(i) * 200 * time.Millisecond }
func slowly(i int) time.Duration      { return time.Duration(i) * 12 * time.Second }
func burst(i int) time.Duration { // five within a second, then one a second after a pause
	if i < 5 {
		return time.Duration(i) * 200 * time.Millisecond
	}
	return time.Duration(i) * time.Second
}

// Guards against a fleet that learns of the guilty part late or in part, and against sound parts, mostly rare ones, that are blocked with it.
func TestFleetBlocksTheGuiltyPartOnly(t *testing.T) {
	plays := []play{
		{name: "five a second, other crashes", guilty: fiveASecond, crashes: 4 * time.Second, length: 15 * time.Second},
		{name: "five a second, no complete answers before", guilty: fiveASecond, cold: true, length: 15 * time.Second},
		{name: "five a second, split", guilty: fiveASecond, split: [2]time.Duration{0, 8 * time.Second}, length: 15 * time.Second},
		{name: "five within a second, restarts in turn", guilty: burst, restarts: 15 * time.Second, length: 20 * time.Second},
		{name: "one in 12 s, split, other crashes", guilty: slowly, crashes: 8 * time.Second, split: [2]time.Duration{0, 40 * time.Second},
			length: 80 * time.Second},
	}
	for _, size := range []struct{ instances, seeds int }{{8, 4}, {60, 2}, {250, 1}} {
		for _, p := range plays {
			for seed := range size.seeds {
				t.Run(fmt.Sprintf("%d instances/%s/%d", size.instances, p.name, seed), func(t *testing.T) {
					p.instances, p.targets, p.seed, p.loss = size.instances, cmp.Or(p.targets, 12), uint64(seed), 0.2
					o := p.run()
					t.Logf("%+v", o)
					require.Positive(t, o.known)
					require.GreaterOrEqual(t, o.ended, poison.DefaultPolicy().Crashes)
					require.LessOrEqual(t, o.late, 3)
					require.LessOrEqual(t, o.lastRefused, o.known+time.Second)
					require.Zero(t, o.otherBlocks)
				})
			}
		}
	}
}

// Guards against a first part that stays blocked because every target crashes before an answer is complete.
func TestSoundPartsAreServedAfterAllTargetsCrashed(t *testing.T) {
	for seed := range uint64(20) {
		p := play{guilty: fiveASecond, cold: true, targets: 3, instances: 8, loss: 0.2, seed: seed, length: 15 * time.Second}
		o := p.run()
		t.Logf("%+v", o)
		require.Positive(t, o.known)
		require.LessOrEqual(t, o.late, 3)
		require.LessOrEqual(t, o.lastRefused, 2*contact)
		require.Zero(t, o.otherBlocks)
	}
}
