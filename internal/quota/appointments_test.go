package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// returningCaller is a caller that was refused and returns after the Retry-After that it got.
type returningCaller struct {
	at        time.Time
	id        uint64
	cost      float64
	scheduled bool
	shortened bool
}

// returnResult counts returns and those of them that were refused again.
type returnResult struct {
	given, returned, refusedAgain  int
	scheduled, scheduledRefused    int
	refusedFirst, admittedAll, all float64
}

// playReturns plays a demand in which all callers wait at most a third of their 5 s and return once,
// to any node. A fraction of them is known by a time shorter than usual. Without fingerprints there
// are no appointments.
func playReturns(nodes int, seed uint64, cost, factor float64, fingerprints bool) returnResult {
	const perSecond = 300_000
	s := newSimFleet(nodes, tokenLimit(perSecond), seed)
	s.bounds, s.delay, s.maxDelay = overloadBounds, 150*time.Millisecond, 400*time.Millisecond
	for _, n := range s.nodes {
		s.restart(n)
	}
	var result returnResult
	var waiting []returningCaller
	next := uint64(0)
	send := func(n *simNode, c returningCaller, remaining time.Duration, again bool) {
		request := Request{Cost: c.cost, Remaining: remaining, AnswerTime: time.Second, Shortened: again && c.shortened}
		if fingerprints {
			request.Caller = func() uint64 { return c.id }
		}
		decision, err := n.limiter.Admit(tenant, s.limit, request, s.now)
		switch {
		case err != nil:
			panic(err)
		case decision.Admitted:
			s.admissions = append(s.admissions, admission{s.now, c.cost})
			result.admittedAll += c.cost
		case again:
			result.refusedAgain++
			if c.scheduled {
				result.scheduledRefused++
			}
		default:
			result.refusedFirst++
			if decision.Appointment {
				result.given++
			}
			if decision.RetryAfter <= remaining/3 {
				c.at, c.scheduled = s.now.Add(decision.RetryAfter), decision.Appointment
				waiting = append(waiting, c)
			}
		}
	}
	for end := s.now.Add(8 * time.Second); s.now.Before(end); s.now = s.now.Add(tick) {
		for i, n := range s.nodes {
			if (s.now.Sub(start)+time.Duration(i)*7*time.Millisecond)%reportInterval < tick {
				s.exchangeReports(n)
			}
		}
		var later []returningCaller
		due := waiting
		waiting = nil
		for _, c := range due {
			if c.at.After(s.now) {
				later = append(later, c)
				continue
			}
			result.returned++
			if c.scheduled {
				result.scheduled++
			}
			send(s.nodes[s.random.IntN(nodes)], c, 4*time.Second, true)
		}
		waiting = append(later, waiting...)
		for expected := factor * perSecond / cost * tick.Seconds(); expected > 0; expected-- {
			if s.random.Float64() >= expected {
				continue
			}
			next++
			result.all += cost
			send(s.nodes[s.random.IntN(nodes)], returningCaller{id: next, cost: cost, shortened: s.random.Float64() < 0.5}, 5*time.Second, false)
		}
	}
	if peak := s.peakInWindow(); peak > overloadBounds.allowed(s.limit) {
		panic("the bound is exceeded")
	}
	return result
}

// Guards against a Retry-After at which callers are refused again: the time comes from the backlog,
// and a scheduled return goes first.
func TestScheduledReturnsAreAdmitted(t *testing.T) {
	for _, nodes := range []int{4, 16} {
		for _, cost := range []float64{400, 17_000} {
			var with, without returnResult
			for seed := range uint64(4) {
				add(&with, playReturns(nodes, seed, cost, 2, true))
				add(&without, playReturns(nodes, seed, cost, 2, false))
			}
			t.Logf("%d nodes, requests of %.0f: %d of %d returns refused again, %d of %d scheduled ones, %.2f admitted; without appointments %d of %d, %.2f admitted",
				nodes, cost, with.refusedAgain, with.returned, with.scheduledRefused, with.scheduled, with.admittedAll/with.all, without.refusedAgain, without.returned, without.admittedAll/without.all)
			require.Positive(t, with.scheduled)
			// Half of the callers have no less time than usual, so that only the node that refused
			// them recognises them.
			require.Less(t, float64(with.scheduledRefused), 0.55*float64(with.scheduled))
			require.Less(t, with.refusedAgain, without.refusedAgain/4)
			require.Greater(t, with.admittedAll, 0.95*without.admittedAll)
		}
	}
}

func add(sum *returnResult, r returnResult) {
	sum.given += r.given
	sum.returned += r.returned
	sum.refusedAgain += r.refusedAgain
	sum.scheduled += r.scheduled
	sum.scheduledRefused += r.scheduledRefused
	sum.refusedFirst += r.refusedFirst
	sum.admittedAll += r.admittedAll
	sum.all += r.all
}
