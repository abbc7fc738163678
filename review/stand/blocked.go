package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	blockedSound   = 6 // replicas of the service that stays
	blockedGone    = 2 // replicas of the other service, all in one zone
	blockedEvents  = 20
	blockedPause   = 20 * time.Millisecond
	blockedCrash   = 2 * time.Second // from the start of the traffic
	blockedJobs    = 7 * time.Second // how long jobs are submitted
	blockedTraffic = 12 * time.Second
	blockedFinish  = 18 * time.Second
	blockedCalm    = 5 * time.Second
)

// playBlocked submits jobs on two routes, and crashes the replicas of the service of one of them.
func playBlocked(f *fleet, trouble bool) (string, error) {
	for n := range blockedSound + blockedGone {
		name := service
		if n >= blockedSound {
			name = otherService
		}
		if err := f.addReplicaOf(name, blockedEvents, blockedPause, nil); err != nil {
			return "", err
		}
	}
	other := batchRoute("other31")
	other["service"] = otherService
	if err := f.configure(7, batchRoute("pule252"), other); err != nil {
		return "", err
	}
	if err := f.start(3); err != nil {
		return "", err
	}
	started := time.Now()
	crashed := false
	var jobs []string
	items := make(map[string][]string)
	for n := 0; time.Since(started) < blockedJobs; n++ {
		if trouble && !crashed && time.Since(started) > blockedCrash {
			crashed = true
			f.crash(otherService)
		}
		p := f.instances[n%len(f.instances)]
		for _, path := range []string{"other31", "pule252"} {
			id := fmt.Sprintf("%s%04x", map[string]string{"other31": "0ddc41e09b52", "pule252": "7c41e09b52d6"}[path], n)
			var list []item
			for i := range 4 {
				next := newItem(fmt.Sprintf("%s%02x", id[:14], i)+id[14:], "/"+path+"/3/91c4")
				list = append(list, next)
				items[id] = append(items[id], next.ID)
			}
			a := submit(p.address(portFront), "/"+path+"/7c41e0", id, list)
			f.record.add("client     job %s on the route %s to %s: status %d, error %v", id, path, p.name, a.status, a.err)
			if path == "pule252" && a.status == http.StatusAccepted {
				jobs = append(jobs, id)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(started.Add(blockedTraffic)))
	f.record.add("client     the traffic ends, batch jobs have %v more", blockedFinish)
	end := time.Now().Add(blockedFinish)
	time.Sleep(time.Until(end))
	open, example := 0, ""
	for n, id := range jobs {
		p, a := read(f.instances[n%len(f.instances)].address(portFront), id, 0, 0)
		if a.err != nil || a.status != http.StatusOK {
			return "", fmt.Errorf("read of job %s: status %d, %v", id, a.status, a.err)
		}
		f.record.add("client     reads job %s: %d results of %d", id, len(p.Results), p.Total)
		if len(p.Results) < p.Total {
			open++
			example = id
		}
	}
	if open == 0 {
		return "", nil
	}
	recent, runs := 0, 0
	for _, r := range f.ledger.Runs("") {
		if r.Ended.IsZero() || r.Ended.After(end.Add(-blockedCalm)) {
			recent++
		}
	}
	for _, id := range items[example] {
		runs += len(f.ledger.Runs(id))
	}
	f.record.add("replicas   %d runs of any item in the last %v; %d runs of the items of job %s at all", recent, blockedCalm, runs, example)
	if recent > 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d jobs of the service whose replicas are sound and idle are not done when finish_s is over, such as %s, whose items were run %d times",
		open, len(jobs), example, runs), nil
}

// crash ends all replicas of a service for good. The platform removes their entries after three heartbeat intervals.
func (f *fleet) crash(service string) {
	for _, t := range f.replicas {
		if t.Service != service {
			continue
		}
		f.record.add("replica    %s of %s crashes for good", t.ID, service)
		_ = f.replicaServers[t.ID].Close()
		time.AfterFunc(3*beat, func() { f.store.Remove("servers/" + t.ID) })
	}
}
