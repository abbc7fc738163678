package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"
)

// countless lets one client at each machine submit a batch job whose body is of legal size and has more items than a job may have, one after the other.
// Without trouble, the jobs are as large and have as many items as they may.
func countless(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 3, targets: 3, events: 20, pause: 20 * time.Millisecond, memoryMB: 134})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	ordinary, stopOrdinary := context.WithCancel(context.Background())
	defer stopOrdinary()
	online := f.ordinaryClients(ordinary, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	f.note("before: %v", online)
	body := emptyItems(maxBody)
	ctx, cancel := f.untilBroken(30 * time.Second)
	defer cancel()
	var group sync.WaitGroup
	for _, i := range f.instances {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := newID()
				switch {
				case trouble:
					status, _, err := i.call(http.MethodPost, "/pule252/"+id[:6], id, nil, body, 10*time.Second)
					f.note("job %s of %d bytes with %d items submitted to %s: status %d, error %v", id, len(body), bytes.Count(body, []byte("{}")), i.name, status, err)
				case n < 4:
					items := make([]item, 200)
					for n := range items {
						items[n] = newItem(14000)
					}
					status, err := i.submit(id, items, 10*time.Second)
					f.note("job %s with %d items submitted to %s: status %d, error %v", id, len(items), i.name, status, err)
				}
				time.Sleep(3 * time.Second)
			}
		})
	}
	group.Wait()
	f.note("after: %v", online)
	return f.judge(), nil
}

// emptyItems returns the body of a job of at most a size whose items are empty.
func emptyItems(size int) []byte {
	const begin, element, end = `{"items":[`, `{},`, `{}]}`
	return append(append([]byte(begin), bytes.Repeat([]byte(element), (size-len(begin)-len(end))/len(element))...), end...)
}
