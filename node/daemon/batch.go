package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/lease"
	nodebatch "eelgrassproxy.example/node/batch"
	"eelgrassproxy.example/node/bulk"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/control/upkeep"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/files"
	"eelgrassproxy.example/node/items"
	"eelgrassproxy.example/node/jobs"
	"eelgrassproxy.example/node/workers"
)

// leaseMargin is how long before the end of its lease an owner stops acting on its shards. It covers work that begins just before that
// time, which is one store call.
const leaseMargin = 3 * time.Second

// batchParts holds the components that accept and run batch jobs.
type batchParts struct {
	disk   *disk.Store // nil without a data folder
	bulk   *bulk.Store
	files  *files.Service
	jobs   *jobs.Service
	keeper *shards.Keeper
	runner *nodebatch.Runner
	upkeep *upkeep.Keeper

	collector *upkeep.Collector // nil without a data folder
}

func (d *Daemon) newBatchParts() (*batchParts, error) {
	b := &batchParts{}
	if err := b.openDisk(d); err != nil {
		return nil, err
	}
	b.bulk = bulk.New(bulk.Config{
		Self:          d.self.ID,
		FailureDomain: d.self.FailureDomain,
		Board:         d.board,
		Disk:          b.disk,
		Peers:         d.bulkPeers,
	})
	b.files = files.New(d.store, b.bulk, files.Options{})
	b.jobs = jobs.New(d.store, b.bulk)
	b.keeper = shards.New(d.store, shards.Config{
		Self:           d.self.ID,
		AliveInstances: d.owners,
		Lease:          lease.NewHolder(leaseMargin),
		IsBusy:         func(s batch.Shard) bool { return b.runner.Busy(s) },
		Seed:           d.env.Seed,
	})
	b.runner = nodebatch.New(d.store, b.bulk, b.keeper, items.New(d.board, d.dispatcher), nodebatch.Config{OnItemNotCompleted: d.logItemNotCompleted})
	b.assembleUpkeep(d)
	return b, nil
}

func (b *batchParts) assembleUpkeep(d *Daemon) {
	retention := d.settings.Batch.Retention
	b.upkeep = upkeep.New(upkeep.Config{
		Store:       d.store,
		Shards:      b.keeper,
		Repairer:    b.bulk,
		DiskHolders: d.diskHolders,
		Retention:   retention,
		Seed:        d.env.Seed,
	})
	if b.disk == nil {
		return
	}
	b.collector = upkeep.NewCollector(d.store, func(inUse func(string) bool) upkeep.Collection {
		return bulk.NewCollector(b.disk, retention, inUse)
	})
}

func (b *batchParts) openDisk(d *Daemon) error {
	folder := d.settings.Instance.DataFolder
	if folder == "" {
		return nil
	}
	opened, err := disk.Open(folder, disk.Options{QuotaBytes: d.settings.Instance.DataQuotaBytes})
	if err != nil {
		return eris.Wrap(err, "instance.data_folder")
	}
	b.disk = opened
	return nil
}

func (b *batchParts) register(p *workers.Pool) {
	p.Register(b.keeper, workers.Schedule{Every: shards.ReconcileInterval})
	p.Register(b.runner, workers.Schedule{Every: nodebatch.ReconcileEvery})
	if b.collector != nil {
		p.Register(b.collector, workers.Schedule{Every: upkeep.CollectInterval})
	}
}

// run runs chunks of jobs and the upkeep of stored records until ctx ends.
func (b *batchParts) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { b.runner.Run(ctx) })
	group.Go(func() { b.upkeep.Run(ctx) })
	group.Wait()
}

// close releases the shards of this instance. It must be called after the workers have ended.
func (b *batchParts) close(ctx context.Context) error { return b.keeper.Close(ctx) }

// handlers returns the handlers that serve blobs to peers. They are empty without a data folder.
func (b *batchParts) handlers() peer.BlobHandlers { return bulk.Handlers(b.disk) }

// logItemNotCompleted writes to the decision log why an item did not complete, under the request ID of its attempts.
func (d *Daemon) logItemNotCompleted(job batch.Job, result batch.Result) {
	d.decisions.Write(decisionlog.Entry{
		Request: items.RequestID(job.ID, result.Index),
		Caller:  job.Caller,
		Kind:    decisionlog.KindOutcome,
		Reason:  fmt.Sprintf("batch item ended as %s: %s", result.Status, result.Reason),
	})
}

// owners returns the IDs of the instances that may own shards: those that are alive and not draining.
func (d *Daemon) owners() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range d.board.Members.All() {
		if m.State == fleet.MemberAlive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// diskHolders returns the IDs of all known instances with a disk, including dead ones.
func (d *Daemon) diskHolders() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range d.board.Members.All() {
		if m.HasDisk {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// jobFiles provides uploaded files as the input of jobs, with the errors of package jobs.
type jobFiles struct{ files *files.Service }

// File implements jobs.Files.
func (f jobFiles) File(ctx context.Context, caller fleet.CallerID, id string) (jobs.File, error) {
	record, err := f.files.Get(ctx, caller, id)
	switch {
	case errors.Is(err, files.ErrNotFound):
		return jobs.File{}, fmt.Errorf("%w: %v", jobs.ErrFileNotFound, err)
	case err != nil:
		return jobs.File{}, fmt.Errorf("%w: %v", jobs.ErrUnavailable, err)
	}
	file := jobs.File{Items: record.Lines}
	for _, c := range record.Chunks {
		file.Chunks = append(file.Chunks, batch.InputChunk{BlobRef: c.Blob, Lines: c.Lines})
	}
	return file, nil
}
