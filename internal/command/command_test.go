package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

func run(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	root := Root()
	root.Writer, root.ErrWriter = &output, &output
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(context.Background(), append([]string{"cloverrail"}, arguments...))
	return output.String(), err
}

func TestExampleDeclarationsAreValid(t *testing.T) {
	for _, name := range []string{"kuusisto.yaml", "dakar.yaml"} {
		output, err := run(t, "check", "--output", "json", filepath.Join("..", "..", "examples", name))
		require.NoError(t, err)
		require.Contains(t, output, `"tenants": 8`)
	}
}

func TestCheckReportsAllProblems(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "kuusisto.yaml"))
	require.NoError(t, err)
	for from, to := range map[string]string{"window: 10m": "window: tenminutes", "    priority: 2": "    prioritty: 2", "weight: 4\n    limits": "weight: 0\n    limits"} {
		require.Contains(t, string(text), from)
		text = bytes.Replace(text, []byte(from), []byte(to), 1)
	}
	path := filepath.Join(t.TempDir(), "faulty.yaml")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	_, err = run(t, "check", path)
	var diagnostics strictyaml.Diagnostics
	require.ErrorAs(t, err, &diagnostics)
	require.Len(t, diagnostics, 3)
	require.Equal(t, exitInvalid, exitCode(err))
}

func TestFlagsOverrideEnvironmentAndFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte("zone: from-file\ndrainDeadline: 7m\nlogLevel: warn\nfleetKey: 00112233445566778899aabbccddeeff\n"), 0o600))
	t.Setenv("CLOVERRAIL_ZONE", "from-environment")
	t.Setenv("CLOVERRAIL_LOG_LEVEL", "error")
	output, err := run(t, "node", "--settings", path, "--log-level", "debug", "--print-settings")
	require.NoError(t, err)
	require.Contains(t, output, "zone: from-environment")
	require.Contains(t, output, "logLevel: debug")
	require.Contains(t, output, "drainDeadline: 7m0s")
	require.NotContains(t, output, "00112233", "secrets are not printed")
}

func TestInvalidSettingsNameLineAndKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte("zone: a\nsonne: b\ndrainDeadline: soon\n"), 0o600))
	_, err := run(t, "node", "--settings", path, "--print-settings")
	require.ErrorContains(t, err, "node.yaml:2: sonne: unknown key")
	require.ErrorContains(t, err, "node.yaml:3: drainDeadline")
	_, err = run(t, "node", "--zone", "a", "--fleet-key", "short", "--print-settings")
	require.ErrorContains(t, err, "fleetKey")
}

func TestInvalidStatementFailsWithoutNode(t *testing.T) {
	_, err := run(t, "query", "--node", "127.0.0.1:1", "show motors")
	require.ErrorContains(t, err, "column 6")
	require.Equal(t, exitInvalid, exitCode(err))
}
