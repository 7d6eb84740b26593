package main

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// ownProcessVariable is the environment variable of a process that was started to run a single subtest.
const ownProcessVariable = "CLOVERRAIL_TEST_RUNS_ONE"

// runInOwnProcess runs a subtest in a new process of the test binary, whose heap holds nothing of other tests.
func runInOwnProcess(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		if os.Getenv(ownProcessVariable) != "" {
			test(t)
			return
		}
		pattern := "^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$"
		command := exec.Command(os.Args[0], "-test.run", pattern, "-test.v", "-test.timeout", "2m")
		command.Env = append(os.Environ(), ownProcessVariable+"=1")
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		output, err := command.CombinedOutput()
		t.Logf("%s", output)
		require.NoError(t, err)
		require.Contains(t, string(output), "--- PASS: "+t.Name(), "the subtest was not run")
	})
}
