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

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	text := "count: twelve\nitems:\n  - name: a\n    wait: 0s\n    colour: red\n  - wait: soon\n"
	var faults Faults
	require.True(t, errors.As(Decode("f.yaml", []byte(text), &outer{}), &faults))
	lines := map[string]int{}
	for _, fault := range faults {
		lines[fault.Field] = fault.Line
		require.Equal(t, "f.yaml", fault.File)
		require.NotEmpty(t, fault.Remedy)
	}
	require.Equal(t, 1, lines["count"])
	require.Equal(t, 5, lines["items[0].colour"])
	require.Equal(t, 6, lines["items[1].wait"])
}

func TestRangesAreNamedByLine(t *testing.T) {
	err := Decode("f.yaml", []byte("count: 10\nitems:\n  - name: a\n    wait: 1s\n  - name: a\n    wait: 2s\n"), &outer{})
	require.ErrorContains(t, err, "f.yaml:1: count: 10 is too large; use at most 9")
	require.ErrorContains(t, err, "f.yaml:2: items: has entries with the same name")
}

func TestSoundFilesDecode(t *testing.T) {
	value := &outer{}
	require.NoError(t, Decode("f.yaml", []byte("count: 3\nitems:\n  - {name: a, wait: 250ms}\n"), value))
	require.Equal(t, 250*time.Millisecond, value.Items[0].Wait)
}

func TestNoTextMakesItPanic(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z:\-\[\]{}"'#&*!| \n0-9]{0,60}`).Draw(t, "text")
		_ = Decode("f.yaml", []byte(text), &outer{})
	})
}
