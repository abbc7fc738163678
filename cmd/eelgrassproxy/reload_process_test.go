package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/platform"
)

// Guards against a process that ends because it is asked to reload its settings while it starts.
func TestReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), platform.EnvSettings+"="+settings)
	require.NoError(t, command.Start())
	writer, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the process reads its settings
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	_, err = writer.WriteString("{")
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	require.Error(t, command.Wait(), "the settings are invalid")
	require.Equal(t, exitFailed, command.ProcessState.ExitCode(), "%s", command.ProcessState)
}
