// Package suspension simulates the suspension of the machine that a process runs on: the
// monotonic clock stops while the wall clock and the time since boot advance.
package suspension

import (
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// Machine is a simulated machine that can be suspended.
type Machine struct {
	installedAt time.Time
	suspended   atomic.Int64
}

// Install replaces the clocks of the process by those of a simulated machine until restore
// is called.
func Install() (machine *Machine, restore func()) {
	machine = &Machine{installedAt: time.Now()}
	return machine, boottime.ReplaceClock(boottime.New(boottime.Source{
		Now:      time.Now,
		WallLead: func(_, _ time.Time) time.Duration { return machine.suspendedTime() },
		Boot:     func() (time.Duration, error) { return time.Since(machine.installedAt) + machine.suspendedTime(), nil },
	}))
}

func (m *Machine) suspendedTime() time.Duration { return time.Duration(m.suspended.Load()) }

// Suspend simulates a suspension of the given duration. It returns immediately, since the
// process would not run during the suspension.
func (m *Machine) Suspend(duration time.Duration) { m.suspended.Add(int64(duration)) }
