package bundlecmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/bundle"
	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/fleet"
)

// operatorsDesk is a fleet of one instance on loopback with the files of its operator.
type operatorsDesk struct {
	t     *testing.T
	fleet *fleet.Fleet
	dir   string
	token string
	key   string
}

func newDesk(t *testing.T) *operatorsDesk {
	d := &operatorsDesk{t: t, dir: t.TempDir()}
	deployment := fleet.Draadwerk()
	deployment.Replicas = 1
	f, err := fleet.Start(fleet.Options{Deployment: deployment, Network: fleet.NewLoopback(), Instances: 1, Folder: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	d.fleet = f
	require.NoError(t, f.Roll(t.Context(), deployment.Document(1)))
	require.NoError(t, f.AwaitReady(t.Context()))
	d.token = write(t, d.dir, "token", fleet.OperatorToken)
	pem, err := bundle.EncodePrivateKey(fleet.OperatorKey())
	require.NoError(t, err)
	d.key = write(t, d.dir, "anna.key", string(pem))
	return d
}

func (d *operatorsDesk) run(command string, args ...string) (code int, stdout, stderr string) {
	address := "http://" + d.fleet.Instances[0].Settings.Listen.Operators
	return run(append([]string{command, "-address", address, "-token-file", d.token}, args...)...)
}

func (d *operatorsDesk) change(command string, args ...string) (code int, stdout, stderr string) {
	return d.run(command, append([]string{"-operator", fleet.Operator, "-key", d.key}, args...)...)
}

func (d *operatorsDesk) inForce() *bundle.Active {
	return d.fleet.Instances[0].Daemon.Board().Bundle.Current()
}

const sampleDigest = "00000000000000000000000000000000000000000000000000000000000000AA"

// Guards against an operator's small change that is lost, rolled without effect, or waits for the watchers before the next one.
func TestCallersAreSetAndRemovedInTheBundleInForce(t *testing.T) {
	d := newDesk(t)
	before := d.inForce().CallerCount()
	code, stdout, stderr := d.change("set-caller", "-id", "w9", "-group", "workshops", "-key-sha256", sampleDigest)
	require.Equal(t, exitOK, code, stderr)
	assert.Contains(t, stdout, "rolled generation 2")
	assert.Equal(t, before+1, d.inForce().CallerCount())
	code, stdout, _ = d.change("set-caller", "-id", "w9", "-group", "workshops", "-key-sha256", strings.ToLower(sampleDigest))
	assert.Equal(t, exitOK, code)
	assert.Contains(t, stdout, errUnchanged.Error())
	code, _, stderr = d.change("set-caller", "-id", "w10", "-group", "none", "-key-sha256", strings.Repeat("b", 64))
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "invalid_request")
	code, _, stderr = d.change("set-caller", "-id", "w10", "-group", "workshops", "-key-sha256", sampleDigest)
	assert.Equal(t, exitFailed, code, "a key that another caller has")
	assert.Contains(t, stderr, "same key")
	code, stdout, stderr = d.change("remove-caller", "-id", "w9")
	require.Equal(t, exitOK, code, stderr)
	assert.Contains(t, stdout, "rolled generation 3")
	assert.Equal(t, before, d.inForce().CallerCount())
}

// Guards against changes that overwrite each other when operators' tools run at once (F7), and a loser that hears nothing.
func TestRacingChangesAllTakeEffectWithRetries(t *testing.T) {
	d := newDesk(t)
	before := d.inForce().CallerCount()
	const racers = 4
	codes := make(chan int, racers)
	for i := range racers {
		go func() {
			digest := strings.Repeat(string(rune('a'+i)), 64)
			code, _, _ := d.change("set-caller", "-id", "racer-"+digest[:1], "-group", "workshops", "-key-sha256", digest, "-retry", "50")
			codes <- code
		}()
	}
	for range racers {
		assert.Equal(t, exitOK, <-codes)
	}
	require.Eventually(t, func() bool { return d.inForce().CallerCount() == before+racers }, time.Minute, 10*time.Millisecond)
	assert.Equal(t, corefleet.Generation(1+racers), d.inForce().Generation())
}

// Guards against a roll that sends 5 MB for a small change, and against one that fails where a delta cannot be made.
func TestRollSendsADeltaIfTheInstanceHasTheBase(t *testing.T) {
	d := newDesk(t)
	roll := func(generation corefleet.Generation) (stdout, stderr string) {
		doc := d.fleet.Deployment.Document(generation)
		doc.Groups[0].Weight = int(generation)
		text, err := yaml.Marshal(doc)
		require.NoError(t, err)
		file := filepath.Join(d.dir, "bundle.yaml")
		require.NoError(t, os.WriteFile(file, text, privateMode))
		code, _, stderr := run("sign", "-key", d.key, "-operator", fleet.Operator, file)
		require.Equal(t, exitOK, code, stderr)
		code, stdout, stderr = d.run("roll", "-seen", "1", file)
		if generation == 2 {
			require.Equal(t, exitOK, code, stderr)
		} else {
			require.Equal(t, exitFailed, code)
		}
		return stdout, stderr
	}
	stdout, stderr := roll(2)
	assert.Contains(t, stdout, "rolled generation 2")
	assert.NotContains(t, stderr, "whole bundle")
	assert.Equal(t, corefleet.Generation(2), d.inForce().Generation())
	_, stderr = roll(3) // made from generation 1 like the one before
	assert.Contains(t, stderr, "sending the whole bundle: the instance has generation 2 in force, not 1")
	assert.Contains(t, stderr, "generation 2 is in force")
}
