package itemjobs

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/node/gateway"
)

// DefaultMemoryBytes is Config.MemoryBytes if it is 0.
const DefaultMemoryBytes = 32 << 20

// Shares of Config.MemoryBytes. Each part has a limit of its own, because memory of one part is only freed with the help of the others: results must be
// encoded to be recorded, and recorded to be no longer kept.
const (
	keptShare     = 0.375 // runs, their events, and outputs that are not recorded yet
	recordedShare = 0.125 // outputs of recorded results, for readers
	pagesShare    = 0.25  // results on their way to readers
	encodingShare = 0.25  // outputs that are encoded for the store or a peer, or decoded
)

const (
	// encodingCopies is the number of times that encoded outputs are in memory during a call of the store: as JSON, whose buffer grows by doubling, and
	// in base64 in the body of the call.
	encodingCopies = 5
	// peerPageCopies and pageCopies are the numbers of times that a page is in memory while it is passed on from a peer, and from this instance: as
	// received, decoded and encoded for the reader, and as kept and encoded.
	peerPageCopies = 3
	pageCopies     = 2
	// tokenBytes is the memory that a run gets for each token of its output when it starts, up to maxStartBytes. The data of most tokens is shorter, so
	// that a sound run rarely depends on what others leave.
	tokenBytes    = 64
	maxStartBytes = 64 << 10
)

// errMemoryFull means that the memory for items is used up.
var errMemoryFull = eris.New("memory for items is used up")

// memory bounds what an instance keeps for items, whatever targets send and readers leave unread. Its parts for outputs add up to Config.MemoryBytes; the
// items themselves, as submitted, have parts of their own.
type memory struct {
	items       *limits.Budget
	submissions *semaphore.Weighted
	// submissionBytes is the capacity of submissions.
	submissionBytes int64

	kept     *limits.Budget
	pages    *limits.Budget
	recorded recordedOutputs // guarded by Service.mu
	encoding *semaphore.Weighted
	// encodingBytes is the capacity of encoding.
	encodingBytes int64
}

func newMemory(total, items, submissions int64) memory {
	share := func(s float64) int64 { return int64(s * float64(total)) }
	return memory{
		items:           limits.NewBudget(items),
		submissions:     semaphore.NewWeighted(submissions),
		submissionBytes: submissions,

		kept:          limits.NewBudget(share(keptShare)),
		pages:         limits.NewBudget(share(pagesShare)),
		recorded:      recordedOutputs{limit: share(recordedShare)},
		encoding:      semaphore.NewWeighted(share(encodingShare)),
		encodingBytes: share(encodingShare),
	}
}

// encode waits until outputs of a number of bytes may be encoded or decoded. The caller must call done afterwards. It fails only when ctx ends.
func (m *memory) encode(ctx context.Context, bytes int64) (done func(), err error) {
	weight := min(bytes*encodingCopies, m.encodingBytes)
	if err := m.encoding.Acquire(ctx, weight); err != nil {
		return nil, eris.Wrapf(err, "wait for memory to encode %d bytes", bytes)
	}
	return func() { m.encoding.Release(weight) }, nil
}

// reservePage reserves the memory for a page while it is sent to a reader. If it does not fit, the page is cut to its first result. It returns false if
// that does not fit either.
func (m *memory) reservePage(page *Page) bool {
	if m.reservePageBytes(page, outputBytes(page.Results)*pageCopies) {
		return true
	}
	page.Next -= len(page.Results) - 1
	page.Results = page.Results[:1]
	return m.reservePageBytes(page, outputBytes(page.Results)*pageCopies)
}

// reservePageBytes reserves a number of bytes for a page, until Page.Release.
func (m *memory) reservePageBytes(page *Page, bytes int64) bool {
	if bytes > 0 && !m.pages.Reserve(bytes) {
		return false
	}
	page.release = func() { m.pages.Release(bytes) }
	return true
}

// outputBytes returns the size of the outputs of results in bytes.
func outputBytes(results []itemjob.Result) int64 {
	var size int64
	for _, r := range results {
		size += int64(len(r.Output))
	}
	return size
}

// recordedOutputs are the outputs of recorded results that are kept for readers, oldest first. Readers get others from the store.
type recordedOutputs struct {
	limit, used int64
	groups      []recordedGroup
}

// recordedGroup is a number of results of a job, up to a position.
type recordedGroup struct {
	job   *ownedJob
	end   int
	bytes int64
}

// add adds recorded results of a job that end at a position and whose outputs have a number of bytes, and drops the outputs of the oldest ones if there
// are too many.
func (o *recordedOutputs) add(j *ownedJob, end int, bytes int64) {
	g := recordedGroup{j, end, bytes}
	o.groups, o.used = append(o.groups, g), o.used+g.bytes
	for o.used > o.limit {
		oldest := o.groups[0]
		oldest.job.ForgetOutputs(oldest.end)
		o.groups, o.used = o.groups[1:], o.used-oldest.bytes
	}
}

// remove removes the results of a job that is no longer in memory.
func (o *recordedOutputs) remove(j *ownedJob) {
	o.groups = slices.DeleteFunc(o.groups, func(g recordedGroup) bool {
		if g.job == j {
			o.used -= g.bytes
		}
		return g.job == j
	})
}

// startBytes returns the memory that a run of an item is given at its start.
func startBytes(item *itemjob.Item) int64 {
	return gateway.MinItemBuffer + min(item.MaxOutputTokens()*tokenBytes, maxStartBytes)
}

// chargeKept updates the memory that is counted for the outputs of a job that are not recorded. The caller holds s.mu.
func (s *Service) chargeKept(j *ownedJob) {
	held := int64(0)
	if !j.dropped {
		held = j.HeldBytes()
	}
	s.memory.kept.Adjust(held - j.charged)
	j.charged = held
}

// chargeNew counts the memory for the outputs of a job that another instance ran before. If they do not fit, they are dropped, and the items run again.
// The caller holds s.mu.
func (s *Service) chargeNew(j *ownedJob) (fits bool) {
	held := j.HeldBytes()
	if held > 0 && !s.memory.kept.Reserve(held) {
		j.DiscardOutputs()
		s.chargeKept(j)
		return false
	}
	j.charged = held
	return true
}

// reserveStart reserves the memory for the start of a run. If only outputs of items that wait take it up, some of them are dropped, since nothing else
// would ever free it. The caller holds s.mu.
func (s *Service) reserveStart(task *itemjob.Task) (charged int64, ok bool) {
	charged = startBytes(&task.Item)
	for !s.memory.kept.Reserve(charged) {
		if len(s.runs) > 0 || !s.dropPartialOutputs() {
			return 0, false
		}
	}
	return charged, true
}

// dropPartialOutputs drops the outputs of the items that wait, of the job that is due last. It returns false if there are none. The caller holds s.mu.
func (s *Service) dropPartialOutputs() bool {
	j := s.lastWithPartialOutputs()
	if j == nil {
		return false
	}
	klog.InfoS("Partial outputs of a job are dropped, they take up the memory for items", "job", j.ID, "bytes", j.charged)
	j.DiscardPartialOutputs()
	s.chargeKept(j)
	return true
}

// lastWithPartialOutputs returns the job with outputs of waiting items that is due last, or nil. The caller holds s.mu.
func (s *Service) lastWithPartialOutputs() *ownedJob {
	var last *ownedJob
	for _, j := range s.jobs {
		if j.HasPartialOutputs() && (last == nil || last.DueTime().Before(j.DueTime())) {
			last = j
		}
	}
	return last
}

// Event implements gateway.ItemSink. Errors: gateway.ErrOutputTooLong, errMemoryFull.
func (r *run) Event(data []byte) error {
	if size := r.keptSize + r.output.EncodedSize() + itemjob.EncodedSize(string(data)) + len(`\n`); size > itemjob.MaxOutputBytes {
		return eris.Wrapf(gateway.ErrOutputTooLong, "%d bytes, at most %d can be listed", size, itemjob.MaxOutputBytes)
	}
	growth := r.output.Growth(len(data))
	if growth > 0 && !r.Reserve(int64(growth)) {
		return eris.Wrapf(errMemoryFull, "%d bytes", r.service.memory.kept.Limit())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if growth > 0 {
		r.output.Grow(growth)
	}
	r.output.Append(data)
	r.lastEvent = r.progress.Last
	r.events.Add(1)
	return nil
}

// Reserve implements gateway.ItemSink. It takes n bytes of the memory that the run was given, and asks for more if that is used up. If there is none, runs
// that started later end, so that the oldest run always gets what it needs, and runs do not end each other again and again.
func (r *run) Reserve(n int64) bool {
	kept := r.service.memory.kept
	r.mu.Lock()
	need := max(r.used+n-r.charged, 0)
	r.mu.Unlock()
	if !kept.Reserve(need) && !r.service.reserveAtCostOfOthers(r, need) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evicted {
		kept.Release(need)
		return false
	}
	r.charged += need
	r.used += n
	return true
}

// Release implements gateway.ItemSink. The run keeps the memory until it ends.
func (r *run) Release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= n
}

// reserveAtCostOfOthers reserves n bytes for a run. For that it ends the runs that started last and, for the oldest run, drops outputs of items that wait.
// It returns false if that is not enough.
func (s *Service) reserveAtCostOfOthers(r *run, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.memory.kept.Reserve(n) {
		if r.evicted {
			return false
		}
		oldest, last := s.oldestAndLastRun()
		switch {
		case last != r:
			last.evict()
		case oldest != r || !s.dropPartialOutputs():
			return false
		}
	}
	return true
}

// oldestAndLastRun returns the runs that started first and last, of those that were not evicted. The caller holds s.mu; a run that is not evicted must be
// in flight.
func (s *Service) oldestAndLastRun() (oldest, last *run) {
	for _, list := range s.runs {
		for _, r := range list {
			if r.evicted {
				continue
			}
			if oldest == nil || r.number < oldest.number {
				oldest = r
			}
			if last == nil || r.number > last.number {
				last = r
			}
		}
	}
	return oldest, last
}

// evict ends a run because another one needs its memory. The caller holds s.mu.
func (r *run) evict() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service.memory.kept.Release(r.charged)
	r.evicted, r.charged = true, 0
	r.cancel(fmt.Errorf("%w: %w", gateway.ErrNotKept, errMemoryFull))
}
