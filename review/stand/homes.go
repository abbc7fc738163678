package main

import (
	"fmt"
	"time"
)

// Sizes of the play homes: a fleet with more than 12 instances, and a service whose replicas stand in three zones.
const (
	homesInstances = 15
	homesEvents    = 80
	homesPause     = 40 * time.Millisecond
	homesItems     = 160
)

// homesReplicas is the number of replicas in each of the zones. Those of the last zone are 0.15 of all, which is what may be lost.
var homesReplicas = []int{9, 8, 3}

// playHomes loses all replicas of one zone for good and then has a client of that zone submit one batch job. All other replicas are sound and idle.
func playHomes(f *fleet, trouble bool) (string, error) {
	for z, count := range homesReplicas {
		for range count {
			if err := f.addReplica(homesEvents, homesPause, nil); err != nil {
				return "", err
			}
			r := f.replicas[len(f.replicas)-1]
			r.Zone = zones[z]
			r.Register(f.store, "ready")
		}
	}
	if err := f.configure(3, streamRoute("lohu930"), batchRoute("pule252")); err != nil {
		return "", err
	}
	stopBeats := f.beatAll()
	defer stopBeats()
	if err := f.start(homesInstances); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	lost := zones[len(zones)-1]
	if trouble {
		for _, r := range f.replicas {
			if r.Zone == lost {
				f.record.add("replica    %s in %s crashes and does not come back", r.ID, r.Zone)
				_ = f.replicaServers[r.ID].Close()
				f.dead.Store(r.ID, true)
			}
		}
		time.Sleep(3 * beat)
		for _, r := range f.replicas {
			if r.Zone == lost {
				f.record.add("platform   the entry of %s expires after three beats of silence", r.ID)
				f.store.Remove("servers/" + r.ID)
			}
		}
	}
	time.Sleep(contact + time.Second)
	directory := f.instances[2].address(portDirectory) // in the zone lost
	addresses, _, err := resolve(directory, lost)
	if err != nil || len(addresses) == 0 {
		return "", fmt.Errorf("directory: %v %w", addresses, err)
	}
	f.record.add("client     the directory names %v to a client in %s", addresses, lost)
	var items []item
	for n := range homesItems {
		items = append(items, newItem(fmt.Sprintf("e5b2907c14%06x", n), fmt.Sprintf("/pule252/%d", n)))
	}
	job := "7c41e09b52d6a3f8"
	sent := time.Now()
	a := submit(addresses[0], "/pule252/7c41e0", job, items)
	f.record.add("client     submits a batch job of %d items: status %d, error %v", len(items), a.status, a.err)
	if a.status != 202 {
		return "", fmt.Errorf("the batch job was not accepted: %d %w", a.status, a.err)
	}
	return f.judgeFinished(addresses, []batchJob{{job, items}}, sent.Add(runSLO+finish))
}
