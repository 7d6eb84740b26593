package operator

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/property"
)

func TestParseDocumentedStatements(t *testing.T) {
	for _, text := range []string{
		"show engines", "show engines where state = draining", "show prefixes hot limit 10", "show tenants",
		"show engines where state != ready and zone = espoo-a limit 3", `show tenants where name = "a b"`, "show configuration",
		"drain engine espoo-a-1", "readmit engine espoo-a-1", "set tenant studio priority 3", "set model oraakeli version 2026-12",
	} {
		_, err := Parse(text)
		require.NoError(t, err, text)
	}
}

func TestParseErrorsNameColumn(t *testing.T) {
	for text, column := range map[string]string{
		"show motors":                "column 6",
		"show engines where = ready": "column 20",
		"drain engine":               "column 13",
		"set tenant a colour 3":      "column 14",
		"show engines limit":         "column 19",
	} {
		_, err := Parse(text)
		require.True(t, failure.Is(err, failure.KindInvalidRequest), text)
		require.ErrorContains(t, err, column, text)
	}
}

func TestParseNeverPanics(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		_, _ = Parse(rapid.String().Draw(t, "text"))
	})
}

func TestCommandsChangeOnlyNamedObjects(t *testing.T) {
	declaration := &configuration.Declaration{
		Models:  []configuration.Model{{Name: "m", Version: "1"}},
		Pools:   []configuration.Pool{{Name: "p", Engines: []configuration.Backend{{Name: "e1"}, {Name: "e2"}}}},
		Tenants: []configuration.Tenant{{Name: "a", Priority: 1, Weight: 1}, {Name: "b", Priority: 2, Weight: 1}},
	}
	run := func(text string) error {
		statement, err := Parse(text)
		require.NoError(t, err)
		return applyStatement(declaration, statement)
	}
	require.NoError(t, run("set tenant a priority 5"))
	require.Equal(t, 5, declaration.Tenants[0].Priority)
	require.Equal(t, 2, declaration.Tenants[1].Priority)
	require.NoError(t, run("drain engine e1"))
	require.NoError(t, run("drain engine e1"), "drain is idempotent")
	require.Equal(t, []string{"e1"}, declaration.Draining)
	require.NoError(t, run("readmit engine e1"))
	require.Empty(t, declaration.Draining)
	require.Error(t, run("readmit engine e1"))
	require.ErrorContains(t, run("drain engine e9"), "show engines")
	require.ErrorContains(t, run("set tenant a version 3"), "priority, weight, rate or class")
	require.ErrorContains(t, run("set tenant a priority high"), "not a number")
}
