package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Sizes of an item's body at the site: the largest and the mean one. A job has about ten items.
const (
	largestItem = 290000
	meanItem    = 15000
	itemsOfJob  = 10
)

// jobs lets three clients at each of two machines submit batch jobs of legal size. Each client submits the next one when it has read all results of the
// last one. Without trouble, the items are of the mean size.
func jobs(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 2, targets: 6, events: 36, pause: 12 * time.Millisecond, memoryMB: 134})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	size := meanItem
	if trouble {
		size = largestItem
	}
	f.note("clients submit jobs of %d items of %d bytes", itemsOfJob, size)
	ctx, cancel := f.untilBroken(60 * time.Second)
	defer cancel()
	c := &jobClients{fleet: f, size: size, others: make(map[string]int)}
	var group sync.WaitGroup
	for _, i := range f.instances {
		for range 3 {
			group.Go(func() {
				for ctx.Err() == nil {
					c.play(ctx, i)
				}
			})
		}
	}
	for ctx.Err() == nil {
		f.note("%v; memory%s", c, f.memory())
		time.Sleep(time.Second)
	}
	group.Wait()
	return f.judge(), nil
}

// jobClients counts what the clients of jobs got.
type jobClients struct {
	fleet              *fleet
	size               int
	mu                 sync.Mutex
	accepted, finished int
	others             map[string]int // other answers to submissions
}

// play submits a job and reads its results.
func (c *jobClients) play(ctx context.Context, i *instance) {
	items := make([]item, itemsOfJob)
	for n := range items {
		items[n] = newItem(c.size)
	}
	id := newID()
	status, err := i.submit(id, items, 5*time.Second)
	c.fleet.note("job %s submitted to %s: status %d, error %v", id, i.name, status, err)
	if status != http.StatusAccepted {
		c.mu.Lock()
		c.others[fmt.Sprintf("%d, error %v", status, err != nil)]++
		c.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		return
	}
	c.mu.Lock()
	c.accepted++
	c.mu.Unlock()
	for next, end := 0, time.Now().Add(20*time.Second); next < len(items) && time.Now().Before(end) && ctx.Err() == nil; {
		_, results, status := i.read(id, next)
		if next += len(results); status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
		if next == len(items) {
			c.mu.Lock()
			c.finished++
			c.mu.Unlock()
		}
	}
}

func (c *jobClients) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("jobs accepted %d, finished and read %d, other answers %v", c.accepted, c.finished, c.others)
}

// memory describes the present resident memory of the processes.
func (f *fleet) memory() string {
	text := ""
	for _, i := range f.instances {
		i.mu.Lock()
		text += fmt.Sprintf(" %s %d MB", i.name, resident(i.command.Process.Pid)>>10)
		i.mu.Unlock()
	}
	return text
}
