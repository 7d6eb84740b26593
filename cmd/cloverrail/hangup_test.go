package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/settings"
)

// programVariable is the environment variable with which the test binary runs the program instead of the tests.
const programVariable = "CLOVERRAIL_TEST_RUNS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a node that ends, and refuses all connections until it is started again, because its settings file changed
// while it started.
func TestHangupDuringStartDoesNotEndNode(t *testing.T) {
	config := settings.ProxyDefaults()
	config.Name, config.Zone, config.Zones = "node", "a", map[string]string{"a": "r"}
	config.CallerAddress, config.ReadinessAddress, config.PeerAddress, config.StoreAddress = address.Free(), address.Free(), address.Free(), address.Free()
	text, err := yaml.Marshal(config)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "proxy.yaml")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	command := exec.Command(os.Args[0], "proxy", "--settings", file)
	command.Env = append(os.Environ(), programVariable+"=1")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	// Opening the pipe waits until the node reads its settings.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.Write(text)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + config.ReadinessAddress)
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	}, waitTimeout, 10*time.Millisecond)
}
