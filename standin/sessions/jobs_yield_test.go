package sessions

import (
	"fmt"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	callerapi "eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/standin/fleet"
)

const (
	// firstTokenTarget is the time to first token that the design size asks of 95 in 100 requests.
	firstTokenTarget = 1300 * time.Millisecond
	// burst is the number of online requests that arrive at once; with the batch requests they exceed what two engines serve.
	burst = 24
)

func jobYields() []jobScenario {
	return []jobScenario{{
		name:   "batch-gives-way",
		guards: "online requests that wait behind batch requests, and preempted items that are lost or counted as attempts",
		adjust: func(o *fleet.Options) { o.Deployment.Replicas = 2 },
		play: func(j *jobSession) {
			id := j.accept(j.upload(completionItems(400, 400)), completions, "")
			for range 120 {
				time.Sleep(time.Second)
				if j.runningAtEngines() >= 24 {
					break
				}
			}
			require.GreaterOrEqual(j.t, j.runningAtEngines(), 24)
			j.line("24 batch requests run at two engines that serve 32 at once")
			before := j.cancelledAtEngines()
			for n, took := range j.sendBurst() {
				require.Less(j.t, took, firstTokenTarget, "online request %d", n)
			}
			require.Greater(j.t, j.cancelledAtEngines(), before, "no batch request gave way")
			j.line("%d online requests came at once and had their first token within %s; batch requests were cancelled for them", burst, firstTokenTarget)
			require.Equal(j.t, callerapi.BatchStatusCompleted, j.await(id).Status)
		},
	}}
}

// sendBurst sends online requests at once through all instances and returns their times to first token.
func (j *jobSession) sendBurst() []time.Duration {
	times := make([]time.Duration, burst)
	var group sync.WaitGroup
	for n := range times {
		group.Go(func() {
			started := time.Now()
			r := chat(n%len(j.fleet.Instances), fmt.Sprintf("online-%d", n), true, 20)
			requireWhole(j.t, j.do(r, func(event int) {
				if event == 0 {
					times[n] = time.Since(started)
				}
			}), 20)
		})
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	return times
}

// runningAtEngines returns the running requests by the latest load reports; only an instance that uses an engine has them.
func (j *jobSession) runningAtEngines() int {
	running := 0
	for id := range j.fleet.Engines {
		most := 0
		for _, i := range j.fleet.Instances {
			most = max(most, i.Daemon.Board().Loads.Get(id).Report.Running)
		}
		running += most
	}
	return running
}

func (j *jobSession) cancelledAtEngines() int {
	cancelled := 0
	for _, e := range j.fleet.Engines {
		cancelled += e.Cancelled()
	}
	return cancelled
}
