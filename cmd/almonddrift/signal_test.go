package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/platform"
)

// platformSettings are settings of a VM whose store does not answer.
const platformSettings = `
node = "vm-1"
ip = "127.0.66.1"
zone = "north"
internalPorts = [7740, 7755]
[listen]
front = "127.0.66.1:8226"
ready = "127.0.66.1:8227"
control = "127.0.66.1:8224"
directory = "127.0.66.1:8225"
[bounds]
graceS = 1
[platform]
address = "127.0.66.2:8229"
`

// startOnPlatform starts the command as the platform does.
func startOnPlatform(t *testing.T, settings string) *exec.Cmd {
	t.Helper()
	path, err := os.Executable()
	require.NoError(t, err)
	command := exec.CommandContext(t.Context(), path)
	command.Args = []string{"almonddrift", "serve"}
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	require.NoError(t, command.Start())
	return command
}

// TestHangupBeforeSettingsWereRead guards against a SIGHUP that ends a process which
// has not read its settings yet.
func TestHangupBeforeSettingsWereRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	command := startOnPlatform(t, path)
	// The open returns once the process reads its settings.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("not settings")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	var failure *exec.ExitError
	require.ErrorAs(t, command.Wait(), &failure)
	assert.Equal(t, exitFailed, failure.ExitCode(), failure.String())
}

// TestHangupAtTheEnd guards against a SIGHUP that ends a process which is about to
// exit by itself.
func TestHangupAtTheEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	// No other test process that runs now has the same address.
	process := os.Getpid()
	ip := strings.NewReplacer("127.0.66.1", fmt.Sprintf("127.%d.%d.1", 124+process%3, 1+process/3%254))
	require.NoError(t, os.WriteFile(path, []byte(ip.Replace(platformSettings)), 0o600))
	command := startOnPlatform(t, path)
	time.Sleep(time.Second)
	require.NoError(t, command.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	for {
		select {
		case err := <-ended:
			require.NoError(t, err)
			return
		default:
			// The process may have ended just now.
			_ = command.Process.Signal(syscall.SIGHUP)
		}
	}
}
