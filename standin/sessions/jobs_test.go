package sessions

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	callerapi "eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/standin/fleet"
)

// jobScenario is one session of a batch job.
type jobScenario struct {
	name   string
	guards string // the failure that the session guards against
	adjust func(*fleet.Options)
	play   func(j *jobSession)
}

// Each session runs whole jobs through real instances on virtual time and is compared with its golden file.
func TestJobSessions(t *testing.T) {
	for _, c := range slices.Concat(jobScenarios(), jobFaults(), jobSubmissions(), jobYields()) {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel() // each session has its own time; in turn they take minutes under the race detector
			synctest.Test(t, func(t *testing.T) {
				j := newJobSession(t, c.adjust)
				c.play(j)
				goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, c.name, j.golden.Bytes())
			})
		})
	}
}

func jobScenarios() []jobScenario {
	return []jobScenario{
		{
			name:   "job-completes",
			guards: "a job whose results are missing, repeated or out of their file",
			play: func(j *jobSession) {
				id := j.accept(j.upload(completionItems(600, 20)), completions, "")
				j.await(id)
			},
		},
		{
			name:   "job-of-large-lines",
			guards: "items that are lost or misnamed because a chunk in the middle ended at its bytes, with fewer than 256 lines",
			play: func(j *jobSession) {
				note := `{"note":"` + strings.Repeat("x", 900<<10) + `",`
				large := strings.ReplaceAll(completionItems(20, 2), `{"custom_id"`, note+`"custom_id"`)
				small := strings.ReplaceAll(completionItems(300, 2), `"ticket-`, `"small-`)
				id := j.accept(j.upload(large+small), completions, "")
				require.Equal(j.t, callerapi.BatchStatusCompleted, j.await(id).Status)
			},
		},
	}
}
