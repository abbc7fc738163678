package main

import (
	"fmt"
	"time"
)

const (
	oneSlotReplicas = 9
	oneSlotEvents   = 50
	oneSlotJobs     = 6 // the largest factor of a burst of batch jobs
	oneSlotItems    = 10
)

// playOneSlot has clients submit batch jobs for replicas with one slot each: one job, or six of them at once in a burst.
func playOneSlot(f *fleet, trouble bool) (string, error) {
	for n := range oneSlotReplicas {
		if err := f.addReplica(oneSlotEvents, homesPause, nil); err != nil {
			return "", err
		}
		f.replicas[n].Slots = 1
		f.replicas[n].Register(f.store, "ready")
	}
	if err := f.configure(3, streamRoute("lohu930"), batchRoute("pule252")); err != nil {
		return "", err
	}
	stopBeats := f.beatAll()
	defer stopBeats()
	if err := f.start(3); err != nil {
		return "", err
	}
	time.Sleep(contact)
	jobs := 1
	if trouble {
		jobs = oneSlotJobs
	}
	var addresses []string
	for _, p := range f.instances {
		addresses = append(addresses, p.address(portFront))
	}
	var accepted []batchJob
	sent := time.Now()
	for j := range jobs {
		one := batchJob{id: fmt.Sprintf("7c41e09b52d6%04x", j)}
		for n := range oneSlotItems {
			one.items = append(one.items, newItem(fmt.Sprintf("e5b2907c%04x%04x", j, n), fmt.Sprintf("/pule252/%d", n)))
		}
		a := submit(addresses[j%len(addresses)], "/pule252/7c41e0", one.id, one.items)
		f.record.add("client     submits batch job %s of %d items: status %d, error %v", one.id, len(one.items), a.status, a.err)
		if a.status != 202 {
			return "", fmt.Errorf("a batch job was not accepted: %d %w", a.status, a.err)
		}
		accepted = append(accepted, one)
	}
	return f.judgeFinished(addresses, accepted, sent.Add(runSLO+finish))
}
