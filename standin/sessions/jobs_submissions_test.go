package sessions

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/standin/service"
)

// jobSubmissions are sessions about the creation of jobs and about items that cannot complete.
func jobSubmissions() []jobScenario {
	return []jobScenario{
		{
			name:   "job-resubmitted",
			guards: "two jobs of one submission that was sent again to another instance",
			play: func(j *jobSession) {
				file := j.upload(completionItems(10, 2))
				first := j.accept(file, completions, "evening")
				j.spoken = 1
				_, again := j.submit(file, completions, "evening")
				require.Equal(j.t, "batch_"+string(first), again.ID)
				other := j.upload(completionItems(11, 2))
				status, _ := j.submit(other, completions, "evening")
				require.Equal(j.t, http.StatusUnprocessableEntity, status, "the key belongs to another submission")
				_, unnamed := j.submit(file, completions, "")
				j.spoken = 2
				_, same := j.submit(file, completions, "")
				require.Equal(j.t, unnamed.ID, same.ID)
				j.await(first)
				j.await(batch.JobID(strings.TrimPrefix(same.ID, "batch_")))
				j.line("the caller has %d jobs, items reached engines %d times", j.jobs(), j.calls(http.MethodPost))
			},
		},
		{
			name:   "job-creation-answer-lost",
			guards: "a job that is refused, or created twice, when the store's answer to its creation is lost",
			play: func(j *jobSession) {
				file := j.upload(completionItems(10, 2))
				j.fleet.Store.LoseAnswers(1)
				j.line("the store loses its answer to the next write")
				j.await(j.accept(file, completions, "lost"))
				j.line("the caller has %d jobs, items reached engines %d times", j.jobs(), j.calls(http.MethodPost))
			},
		},
		{
			name:   "job-with-poison-items",
			guards: "items that can never complete and keep their job from its end, or end without a reason",
			play: func(j *jobSession) {
				lines := completionItems(8, 2) +
					item(8, completions, `"model":"no-such-model","prompt":"p"`) +
					item(9, completions, `"model":"bench-assist","max_tokens":-1,"prompt":"p"`) +
					item(10, completions, `"prompt":"no model"`)
				id := j.accept(j.upload(lines), completions, "")
				j.await(id)
				j.outcomes(id)
			},
		},
		{
			name:   "job-with-failing-service",
			guards: "an item that fails each time and is tried for ever, or without a bound on its attempts",
			play: func(j *jobSession) {
				for _, s := range j.fleet.Services {
					for range 100 {
						s.Inject(service.Failed)
					}
				}
				lookup := "/v1/services/quotes/lookup"
				lines := item(0, lookup, `"lamp":1`) + item(1, lookup, `"lamp":2`)
				id := j.accept(j.upload(lines), lookup, "")
				j.await(id)
				j.outcomes(id)
				j.line("the service ran %d operations for 2 items", len(j.fleet.Ledger.Executions()))
				lines = item(0, issuing, `"lamp":1`) + item(1, issuing, `"lamp":2`)
				id = j.accept(j.upload(lines), issuing, "")
				j.await(id)
				j.outcomes(id)
				j.line("%s", executions(j.fleet.Ledger.Executions()[2*batch.MaxAttempts:]))
			},
		},
	}
}

// jobs returns the number of the caller's jobs.
func (j *jobSession) jobs() int {
	status, answer, err := j.call(http.MethodGet, "/v1/batches", "", nil, nil)
	require.NoError(j.t, err)
	require.Equal(j.t, http.StatusOK, status, string(answer))
	var list struct{ Data []json.RawMessage }
	require.NoError(j.t, json.Unmarshal(answer, &list))
	return len(list.Data)
}
