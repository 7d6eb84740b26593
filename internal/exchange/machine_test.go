package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/property"
)

// fixedBudget is a Budget of a fixed number of retries.
type purse struct{ left int }

func (purse *purse) Withdraw(time.Time) bool {
	if purse.left == 0 {
		return false
	}
	purse.left--
	return true
}

// checker drives a machine with events and checks the invariants of its actions.
type observer struct {
	t       *rapid.T
	rules   Rules
	machine *Machine
	now     time.Time

	placing  bool
	inFlight bool
	mayRun   int
	sends    int
	heads    int
	lastID   int64
	ended    bool
	streamed bool
}

func (observer *observer) take(actions []Action) {
	for _, action := range actions {
		require.False(observer.t, observer.ended, "%T after the request has ended", action)
		switch action := action.(type) {
		case Place:
			observer.placing, observer.inFlight = true, false
		case Send:
			observer.sends++
			if observer.mayRun > 0 {
				require.True(observer.t, observer.rules.Repeatable, "retried although an attempt may have run")
			}
			observer.mayRun++
			observer.inFlight = true
			if observer.lastID >= 0 {
				require.True(observer.t, action.Resumes)
				require.Equal(observer.t, observer.lastID, action.After)
			}
		case Open:
			observer.heads++
		case Deliver:
			require.Zero(observer.t, observer.heads, "a second head")
			observer.heads++
			observer.ended = true
		case Finish:
			observer.ended = true
		case Cut:
			require.Equal(observer.t, 1, observer.heads)
			observer.ended = true
		case Fail:
			require.Zero(observer.t, observer.heads)
			require.Equal(observer.t, action.Failure.Outcome == failure.NotRun, observer.mayRun == 0, "the outcome contradicts the attempts")
			observer.ended = true
		}
	}
	require.LessOrEqual(observer.t, observer.heads, 1)
	require.LessOrEqual(observer.t, observer.mayRun, observer.rules.Runs)
	require.LessOrEqual(observer.t, observer.sends, observer.rules.Sends)
}

func (observer *observer) step(event Event) {
	switch event.(type) {
	case Refused, Unreached:
		observer.mayRun--
		observer.inFlight = false
	case Answered, Ended, Broken, Late:
		observer.inFlight = false
	}
	actions := observer.machine.Step(observer.now, event)
	if arrived, isEvent := event.(Arrived); isEvent && len(actions) > 0 {
		require.Greater(observer.t, arrived.ID, observer.lastID, "an event was forwarded twice or out of order")
		observer.lastID = arrived.ID
	}
	observer.take(actions)
}

// drawEvent draws an event that is possible in the current state.
func (observer *observer) draw() Event {
	if observer.placing && !observer.inFlight {
		observer.placing = false
		observer.streamed = false
		return rapid.SampledFrom([]Event{
			Placed{Server: fmt.Sprint("s", observer.sends)}, Placed{Server: fmt.Sprint("s", observer.sends)},
			Unplaced{Reason: "full"}, Expired{}, CallerLeft{}, Stopping{},
		}).Draw(observer.t, "placement")
	}
	if observer.streamed {
		next := max(0, observer.lastID+int64(rapid.IntRange(-1, 2).Draw(observer.t, "id")))
		return rapid.SampledFrom([]Event{
			Arrived{ID: next, HasID: true}, Arrived{ID: next, HasID: true}, Broken{Reason: "reset"}, Ended{}, Silent{}, Expired{}, CallerLeft{}, Stopping{},
		}).Draw(observer.t, "stream")
	}
	event := rapid.SampledFrom([]Event{
		Opened{}, Opened{}, Answered{}, Answered{Faulty: true}, Refused{Reason: "full"}, Unreached{Reason: "dark"},
		Broken{Reason: "reset"}, Silent{}, Late{}, Expired{}, CallerLeft{}, Stopping{},
	}).Draw(observer.t, "attempt")
	_, observer.streamed = event.(Opened)
	return event
}

func TestWhateverHappensThePromisesHold(t *testing.T) {
	property.CheckMany(t, 2000, func(t *rapid.T) {
		rules := Rules{
			Repeatable:    rapid.Bool().Draw(t, "repeatable"),
			Runs:          rapid.IntRange(1, 3).Draw(t, "runs"),
			Sends:         rapid.IntRange(1, DefaultSends).Draw(t, "sends"),
			PlacementWait: 50 * time.Millisecond,
		}
		budget := &purse{left: rapid.IntRange(0, 4).Draw(t, "budget")}
		observer := &observer{t: t, rules: rules, machine: NewMachine(rules, budget, nil), now: time.Unix(0, 0), lastID: -1}
		observer.take(observer.machine.Start(observer.now))
		for range 200 {
			if observer.ended {
				break
			}
			observer.now = observer.now.Add(10 * time.Millisecond)
			observer.step(observer.draw())
		}
		require.Equal(t, observer.ended, observer.machine.Finished())
		require.Empty(t, observer.machine.Step(observer.now, Arrived{ID: 99, HasID: true}), "no actions after the request has ended")
	})
}

// lastActions runs a machine through a sequence of events and returns the actions of the last.
func script(rules Rules, budget int, resumeAfter *int64, events ...Event) []Action {
	now := time.Unix(0, 0)
	machine := NewMachine(rules, &purse{left: budget}, resumeAfter)
	actions := machine.Start(now)
	for _, event := range events {
		actions = machine.Step(now, event)
	}
	return actions
}

var (
	once  = Rules{Runs: 1, Sends: 6}
	twice = Rules{Repeatable: true, Runs: 2, Sends: 6}
)

func TestARefusalIsTriedElsewhereAndABreakIsNot(t *testing.T) {
	require.Contains(t, script(once, 1, nil, Placed{Server: "a"}, Refused{}), Place{Excluded: []string{"a"}})
	require.Contains(t, script(once, 0, nil, Placed{Server: "a"}, Unreached{}), Place{Excluded: []string{"a"}}, "an attempt that was not sent costs no budget")
	broken := script(once, 9, nil, Placed{Server: "a"}, Broken{})
	require.Equal(t, failure.Unknown, broken[1].(Fail).Failure.Outcome)
	denied := script(once, 0, nil, Placed{Server: "a"}, Refused{})
	require.Equal(t, failure.NotRun, denied[1].(Fail).Failure.Outcome)
}

func TestAStreamGoesOnAfterItsLastWholeEvent(t *testing.T) {
	events := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Arrived{ID: 3, HasID: true}, Broken{}, Placed{Server: "b"}}
	require.Equal(t, []Action{Send{Resumes: true, After: 3}}, script(twice, 1, nil, events...))
	require.Empty(t, script(twice, 1, nil, append(events, Opened{})...), "the caller already has a head")
	require.Empty(t, script(twice, 1, nil, append(events, Opened{}, Arrived{ID: 3, HasID: true})...), "the caller already has this event")
	require.Equal(t, []Action{Forward{}}, script(twice, 1, nil, append(events, Opened{}, Arrived{ID: 4, HasID: true})...))
	after := int64(7)
	require.Equal(t, []Action{Send{Resumes: true, After: 7}}, script(twice, 1, &after, Placed{Server: "a"}))
}

func TestAFaultyAnswerIsKeptForWantOfABetterOne(t *testing.T) {
	events := []Event{Placed{Server: "a"}, Answered{Faulty: true}, Placed{Server: "b"}}
	require.Contains(t, script(twice, 1, nil, append(events, Broken{})...), Deliver{})
	require.Contains(t, script(twice, 1, nil, append(events, Expired{})...), Deliver{})
	require.Equal(t, []Action{Deliver{}}, script(twice, 1, nil, append(events, Answered{})...))
	require.Equal(t, []Action{Deliver{}}, script(once, 1, nil, Placed{Server: "a"}, Answered{Faulty: true}), "the attempt may have run")
}

func TestAFullFleetIsWaitedForOnlyAWhile(t *testing.T) {
	rules := Rules{Runs: 1, Sends: 6, PlacementWait: 50 * time.Millisecond, RetryAfter: time.Second}
	machine := NewMachine(rules, &purse{}, nil)
	start := time.Unix(0, 0)
	machine.Start(start)
	require.Equal(t, []Action{Place{Pause: placementPause}}, machine.Step(start.Add(40*time.Millisecond), Unplaced{}))
	final := machine.Step(start.Add(60*time.Millisecond), Unplaced{})[0].(Fail).Failure
	require.Equal(t, failure.NotRun, final.Outcome)
	require.Equal(t, time.Second, final.RetryAfter, "the failure carries the retry delay")
}
