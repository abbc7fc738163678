package jobcmd_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"eelgrassproxy.example/cmd/eelgrassctl/jobcmd"
	"github.com/stretchr/testify/require"
)

const jobJSON = `{"id":"J","caller":"acme","endpoint":"/v1/completions","file":"f","state":"cancelled","shard":3,"items":10,` +
	`"completed":4,"failed":1,"unknown":0,"expired":0,"created":"2026-01-05T18:00:00Z","deadline":"2026-01-06T18:00:00Z"}`

// Guards against commands that call another operation than they say, stop at the first page, or hide an error behind exit code 0.
func TestCommandsCallTheOperatorsListener(t *testing.T) {
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.RequestURI())
		w.Header().Set("Content-Type", "application/json")
		switch r.URL.RequestURI() {
		case "/operator/v1/jobs":
			_, _ = w.Write([]byte(`{"jobs":[` + jobJSON + `],"more":true}`))
		case "/operator/v1/jobs?after=J":
			_, _ = w.Write([]byte(`{"jobs":[` + jobJSON + `],"more":false}`))
		case "/operator/v1/jobs/J", "/operator/v1/jobs/J/cancel":
			_, _ = w.Write([]byte(jobJSON))
		default:
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"error":{"code":"job_ended","message":"job has already ended"}}`))
		}
	}))
	defer server.Close()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		full := append([]string{args[0], "-address", server.URL, "-token-file", token}, args[1:]...)
		code := jobcmd.Run(context.Background(), full, &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}

	code, out, _ := run("list")
	require.Zero(t, code)
	require.Contains(t, out, "acme")
	code, out, _ = run("show", "J")
	require.Zero(t, code)
	require.Contains(t, out, "completed  4")
	code, out, _ = run("cancel", "J")
	require.Zero(t, code)
	require.Contains(t, out, "cancelled")
	code, _, text := run("cancel", "other")
	require.Equal(t, 1, code)
	require.Contains(t, text, "job has already ended (job_ended)")
	code, _, _ = run("show")
	require.Equal(t, 2, code)
	require.Equal(t, []string{
		"GET /operator/v1/jobs", "GET /operator/v1/jobs?after=J", "GET /operator/v1/jobs/J",
		"POST /operator/v1/jobs/J/cancel", "POST /operator/v1/jobs/other/cancel",
	}, calls)
}
