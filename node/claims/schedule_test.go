package claims

import (
	"time"

	"pgregory.net/rapid"
)

// schedule is one randomly drawn test run: requests with a few keys to several instances, with faults of the store and of
// instances.
type schedule struct {
	Seed      uint64
	Instances int
	Faults    float64
	Outages   []window
	Sends     []send
	Events    []event
}

type send struct {
	At       time.Duration
	Instance int
	Key      int
	Body     int           // another body with the same key is a mismatch
	Timeout  time.Duration // timeout of the caller
	Run      time.Duration // time that the target takes if this attempt runs
	End      int           // 0: response, 1: the target reports that it did not run the request, 2: connection failed after the run
}

type event struct {
	At       time.Duration
	Instance int
	Kind     int // 0: the process is lost, 1: it is paused, 2: it is replaced under the same ID
	For      time.Duration
}

func drawSchedule(t *rapid.T) schedule {
	within := func(limit time.Duration, label string) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(limit/time.Millisecond)).Draw(t, label)) * time.Millisecond
	}
	s := schedule{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Instances: rapid.IntRange(2, 3).Draw(t, "instances"),
		Faults:    rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "faults"),
	}
	for range rapid.IntRange(0, 2).Draw(t, "outages") {
		from := within(8*time.Second, "outage")
		s.Outages = append(s.Outages, window{from: from, to: from + within(4*time.Second, "outage length")})
	}
	for range rapid.IntRange(2, 12).Draw(t, "sends") {
		s.Sends = append(s.Sends, send{
			At:       within(6*time.Second, "at"),
			Instance: rapid.IntRange(0, s.Instances-1).Draw(t, "instance"),
			Key:      rapid.IntRange(0, 1).Draw(t, "key"),
			Body:     rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "body"),
			Timeout:  50*time.Millisecond + within(6*time.Second, "patience"),
			Run:      within(3*time.Second, "run"),
			End:      rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "end"),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "events") {
		s.Events = append(s.Events, event{
			At:       within(6*time.Second, "event"),
			Instance: rapid.IntRange(0, s.Instances-1).Draw(t, "hit"),
			Kind:     rapid.IntRange(0, 2).Draw(t, "kind"),
			For:      within(5*time.Second, "for"),
		})
	}
	return s
}
