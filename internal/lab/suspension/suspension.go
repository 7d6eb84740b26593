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
	begun time.Time
	slept atomic.Int64
}

// Install replaces the clocks of the process by those of a simulated machine until restore
// is called.
func Begin() (machine *Machine, restore func()) {
	machine = &Machine{begun: time.Now()}
	return machine, boottime.Use(boottime.New(boottime.Readings{
		Now:  time.Now,
		Lead: func(_, _ time.Time) time.Duration { return machine.asleep() },
		Boot: func() (time.Duration, error) { return time.Since(machine.begun) + machine.asleep(), nil },
	}))
}

func (m *Machine) asleep() time.Duration { return time.Duration(m.slept.Load()) }

// Suspend simulates a suspension of the given duration. It returns immediately, since the
// process would not run during the suspension.
func (m *Machine) Suspend(length time.Duration) { m.slept.Add(int64(length)) }
