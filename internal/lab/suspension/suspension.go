// Package suspension suspends the machine of a process as far as its clocks can tell: the
// steady clock stands still while the time of day and the time since the start go on.
package suspension

import (
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// Machine is a machine that can be suspended.
type Machine struct {
	begun time.Time
	slept atomic.Int64
}

// Begin lets the process run on a machine that can be suspended, until restore is called.
func Begin() (machine *Machine, restore func()) {
	machine = &Machine{begun: time.Now()}
	return machine, boottime.Use(boottime.New(boottime.Readings{
		Now:  time.Now,
		Lead: func(_, _ time.Time) time.Duration { return machine.asleep() },
		Boot: func() (time.Duration, error) { return time.Since(machine.begun) + machine.asleep(), nil },
	}))
}

func (m *Machine) asleep() time.Duration { return time.Duration(m.slept.Load()) }

// Suspend suspends the machine for a time. Nothing of the process runs meanwhile: for it,
// the suspension is over at once.
func (m *Machine) Suspend(length time.Duration) { m.slept.Add(int64(length)) }
