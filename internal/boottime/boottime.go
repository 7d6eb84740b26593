// Package boottime tells a time that goes on while the machine is suspended.
//
// The steady clock by which Go compares times stands still meanwhile: to a process that
// wakes, a lease, an age or a caller's deadline would be what it was before. The time of
// day goes on, but jumps when it is set. So a time of this package is one of package time
// whose steady reading is ahead by what the machine has been suspended since the start.
//
// Such times are compared with each other: Since and Until take the place of those of
// package time, and a context is bounded by a length of time, not by a time. What the
// runtime itself waits for, a timer or a socket's deadline, keeps package time.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is how far the time of day may run ahead of the steady clock until it is asked
// whether the machine was suspended. Setting the time of day by slewing moves it by 0.5 ms
// a second, so that the kernel is asked every other second at most, and not at each look.
const tolerance = time.Millisecond

// Readings are the clocks of a machine.
type Readings struct {
	// Now is the present time with its steady reading.
	Now func() time.Time
	// Lead is how much further the time of day has gone on than the steady clock, between
	// two times of Now.
	Lead func(since, now time.Time) time.Duration
	// Boot is the time since the machine's start, suspensions included. It is not asked at
	// each look since that takes a system call.
	Boot func() (time.Duration, error)
}

// System returns the readings of this machine.
func System() Readings { return Readings{Now: time.Now, Lead: lead, Boot: bootReading} }

func lead(since, now time.Time) time.Duration {
	return now.Round(0).Sub(since.Round(0)) - now.Sub(since)
}

// Clock counts the time of suspensions. It is safe for concurrent use.
type Clock struct {
	readings Readings
	// counts says that suspensions can be told from changes of the time of day.
	counts bool

	start     time.Time
	startBoot time.Duration

	mutex sync.Mutex
	// lead is how far the time of day was ahead of the steady clock at the last look, in
	// nanoseconds since the start, and suspended for how long the machine has been.
	lead      atomic.Int64
	suspended atomic.Int64
}

// New returns a clock that starts now. If the time since the machine's start cannot be
// read, suspensions are not counted.
func New(readings Readings) *Clock {
	c := &Clock{readings: readings, start: readings.Now()}
	started, err := readings.Boot()
	c.startBoot, c.counts = started, err == nil
	return c
}

// Now returns the present time.
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

// look asks the kernel for how long the machine has been suspended.
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

// Suspended returns for how long the machine is known to have been suspended.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// bootReading reads CLOCK_BOOTTIME.
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

// Use lets another clock be this process's, and returns what undoes that. It is for tests
// and emulators that suspend a machine.
func Use(c *Clock) (restore func()) {
	before := system.Swap(c)
	return func() { system.Store(before) }
}

// Now returns the present time, ahead by all suspensions.
func Now() time.Time { return system.Load().Now() }

// Since returns the time since a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns for how long the machine was suspended since the process's start.
func Suspended() time.Duration {
	clock := system.Load()
	clock.Now()
	return clock.Suspended()
}
