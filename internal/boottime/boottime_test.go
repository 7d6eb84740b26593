package boottime

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// fakeMachine simulates the clocks of a machine: the monotonic clock, which stops during
// a suspension, the wall clock, which can be set, and the boot clock.
type fakeMachine struct {
	startedAt time.Time
	monotonic time.Duration
	// wallAdjustment is the sum of the changes to the wall clock, and suspended the total
	// time of suspensions.
	wallAdjustment time.Duration
	suspended      time.Duration
}

func (m *fakeMachine) source() Source {
	return Source{
		Now:      func() time.Time { return m.startedAt.Add(m.monotonic) },
		WallLead: func(_, _ time.Time) time.Duration { return m.wallAdjustment + m.suspended },
		Boot:     func() (time.Duration, error) { return time.Hour + m.monotonic + m.suspended, nil },
	}
}

// TestNowCountsSuspensionsAndIgnoresWallClockSteps checks that times differ by the
// elapsed time, including suspensions, whatever happens to the wall clock. The error
// may be up to one tolerance per step.
func TestNowCountsSuspensionsAndIgnoresWallClockSteps(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		m := &fakeMachine{startedAt: time.Now()}
		c := New(m.source())
		first, elapsed := c.Now(), time.Duration(0)
		steps := rapid.IntRange(1, 20).Draw(t, "steps")
		for range steps {
			duration := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "length"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.suspended += duration
				elapsed += duration
			case 1:
				m.wallAdjustment += duration - 5*time.Second
			default:
				m.monotonic += duration
				elapsed += duration
			}
			require.InDelta(t, elapsed, c.Now().Sub(first), float64(time.Duration(steps)*tolerance))
		}
	})
}

func TestSuspensionsAreIgnoredWithoutBootClock(t *testing.T) {
	m := &fakeMachine{startedAt: time.Now()}
	source := m.source()
	source.Boot = func() (time.Duration, error) { return 0, errors.New("no such clock") }
	c := New(source)
	first := c.Now()
	m.suspended, m.monotonic = time.Minute, time.Second
	require.Equal(t, time.Second, c.Now().Sub(first))
}

func TestSystemBootClockIsReadable(t *testing.T) {
	reading, err := readBootClock()
	require.NoError(t, err)
	require.Positive(t, reading)
	start := Now()
	require.GreaterOrEqual(t, Since(start), time.Duration(0))
	require.LessOrEqual(t, Until(start), time.Duration(0))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
