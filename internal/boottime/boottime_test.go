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
type machine struct {
	begun  time.Time
	steady time.Duration
	// wallAdjustment is the sum of the changes to the wall clock, and suspended the total
	// time of suspensions.
	set   time.Duration
	slept time.Duration
}

func (m *machine) readings() Readings {
	return Readings{
		Now:  func() time.Time { return m.begun.Add(m.steady) },
		Lead: func(_, _ time.Time) time.Duration { return m.set + m.slept },
		Boot: func() (time.Duration, error) { return time.Hour + m.steady + m.slept, nil },
	}
}

// TestNowCountsSuspensionsAndIgnoresWallClockSteps checks that times differ by the
// elapsed time, including suspensions, whatever happens to the wall clock. The error
// may be up to one tolerance per step.
func TestTimeGoesOnInSuspensionsAndDoesNotJump(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		m := &machine{begun: time.Now()}
		c := New(m.readings())
		first, passed := c.Now(), time.Duration(0)
		steps := rapid.IntRange(1, 20).Draw(t, "steps")
		for range steps {
			length := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "length"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.slept += length
				passed += length
			case 1:
				m.set += length - 5*time.Second
			default:
				m.steady += length
				passed += length
			}
			require.InDelta(t, passed, c.Now().Sub(first), float64(time.Duration(steps)*tolerance))
		}
	})
}

func TestWithoutAReadingSuspensionsAreNotCounted(t *testing.T) {
	m := &machine{begun: time.Now()}
	readings := m.readings()
	readings.Boot = func() (time.Duration, error) { return 0, errors.New("no such clock") }
	c := New(readings)
	first := c.Now()
	m.slept, m.steady = time.Minute, time.Second
	require.Equal(t, time.Second, c.Now().Sub(first))
}

func TestTheMachinesOwnClockIsRead(t *testing.T) {
	reading, err := bootReading()
	require.NoError(t, err)
	require.Positive(t, reading)
	begun := Now()
	require.GreaterOrEqual(t, Since(begun), time.Duration(0))
	require.LessOrEqual(t, Until(begun), time.Duration(0))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
