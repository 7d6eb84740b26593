// Package boottime provides a monotonic time that advances while the machine is
// suspended.
//
// Go's monotonic clock stops during suspension, so that after a resume leases, ages
// and deadlines would appear unchanged. The wall clock advances, but jumps when it is
// set. A time of this package is a time.Time whose monotonic reading is advanced by
// the time that the machine has been suspended since the process started.
//
// Compare such times only with each other: use Since and Until of this package, and
// bound contexts by a duration rather than a time. Timers and socket deadlines, which
// the runtime waits for, use package time.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the drift between wall clock and monotonic clock above which the boot
// clock is read to detect a suspension. Slewing moves the wall clock by 0.5 ms per
// second, so that the system call is made at most every two seconds rather than on
// each call of Now.
const tolerance = time.Millisecond

// Source provides the clocks of a machine.
type Readings struct {
	// Now returns the current time with its monotonic reading.
	Now func() time.Time
	// WallLead returns by how much the wall clock advanced more than the monotonic
	// clock between two results of Now.
	Lead func(since, now time.Time) time.Duration
	// Boot returns the time since the machine booted, including suspensions. It takes a
	// system call, so it is not called for each reading of the time.
	Boot func() (time.Duration, error)
}

// SystemSource returns the clocks of this machine.
func System() Readings { return Readings{Now: time.Now, Lead: lead, Boot: bootReading} }

func lead(since, now time.Time) time.Duration {
	return now.Round(0).Sub(since.Round(0)) - now.Sub(since)
}

// Clock is a monotonic clock that includes the time of suspensions. It is safe for
// concurrent use.
type Clock struct {
	readings Readings
	// bootAvailable is set if the boot clock can be read. Without it, suspensions
	// cannot be distinguished from changes of the wall clock.
	counts bool

	start     time.Time
	startBoot time.Duration

	mutex sync.Mutex
	// wallLead is the WallLead since start when the boot clock was last read, and
	// suspended the total time of suspensions since start, both in nanoseconds.
	lead      atomic.Int64
	suspended atomic.Int64
}

// New returns a clock that starts now. If the boot clock cannot be read, suspensions
// are not counted.
func New(readings Readings) *Clock {
	c := &Clock{readings: readings, start: readings.Now()}
	started, err := readings.Boot()
	c.startBoot, c.counts = started, err == nil
	return c
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	now := c.readings.Now()
	if c.counts {
		lead := c.readings.Lead(c.start, now)
		if change := lead - time.Duration(c.lead.Load()); change > tolerance || change < -tolerance {
			c.look(lead)
		}
	}
	return now.Add(c.Suspended())
}

// updateSuspended reads the boot clock and updates the total time of suspensions.
func (c *Clock) look(lead time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	boot, err := c.readings.Boot()
	if err != nil {
		return
	}
	c.lead.Store(int64(lead))
	suspended := boot - c.startBoot - c.readings.Now().Sub(c.start)
	if suspended-c.Suspended() > tolerance {
		c.suspended.Store(int64(suspended))
	}
}

// Suspended returns the total time that the machine is known to have been suspended
// since the clock started.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// readBootClock reads CLOCK_BOOTTIME.
func bootReading() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, err
	}
	return time.Duration(reading.Nano()), nil
}

// system is the clock of this process.
var system atomic.Pointer[Clock]

func init() { system.Store(New(System())) }

// ReplaceClock replaces the clock of this process and returns a function that restores
// the previous one. It is for tests and emulators that suspend a machine.
func Use(c *Clock) (restore func()) {
	before := system.Swap(c)
	return func() { system.Store(before) }
}

// Now returns the current time, including the time of suspensions.
func Now() time.Time { return system.Load().Now() }

// Since returns the time elapsed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns the total time that the machine was suspended since the process
// started.
func Suspended() time.Duration {
	clock := system.Load()
	clock.Now()
	return clock.Suspended()
}
