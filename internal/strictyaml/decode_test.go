package strictyaml

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

type inner struct {
	Name string        `yaml:"name" validate:"required"`
	Wait time.Duration `yaml:"wait" validate:"gt=0"`
}

type outer struct {
	Count int     `yaml:"count" validate:"min=1,max=9"`
	Items []inner `yaml:"items" validate:"unique=Name,dive"`
}

func TestDecodeReportsAllDiagnostics(t *testing.T) {
	text := "count: twelve\nitems:\n  - name: a\n    wait: 0s\n    colour: red\n  - wait: soon\n"
	var diagnostics Diagnostics
	require.True(t, errors.As(Decode("f.yaml", []byte(text), &outer{}), &diagnostics))
	lines := map[string]int{}
	for _, diagnostic := range diagnostics {
		lines[diagnostic.Field] = diagnostic.Line
		require.Equal(t, "f.yaml", diagnostic.File)
		require.NotEmpty(t, diagnostic.Remedy)
	}
	require.Equal(t, 1, lines["count"])
	require.Equal(t, 5, lines["items[0].colour"])
	require.Equal(t, 6, lines["items[1].wait"])
}

func TestRangeDiagnosticsIncludeLine(t *testing.T) {
	err := Decode("f.yaml", []byte("count: 10\nitems:\n  - name: a\n    wait: 1s\n  - name: a\n    wait: 2s\n"), &outer{})
	require.ErrorContains(t, err, "f.yaml:1: count: 10 is too large; use at most 9")
	require.ErrorContains(t, err, "f.yaml:2: items: has entries with the same name")
}

func TestValidFileDecodes(t *testing.T) {
	value := &outer{}
	require.NoError(t, Decode("f.yaml", []byte("count: 3\nitems:\n  - {name: a, wait: 250ms}\n"), value))
	require.Equal(t, 250*time.Millisecond, value.Items[0].Wait)
}

func TestDecodeNeverPanics(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z:\-\[\]{}"'#&*!| \n0-9]{0,60}`).Draw(t, "text")
		_ = Decode("f.yaml", []byte(text), &outer{})
	})
}
