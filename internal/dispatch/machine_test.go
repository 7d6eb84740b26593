package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// simulator simulates engines for one machine and checks every action. It draws
// crashes, rejections, lost connections, lost, repeated and reordered events, and
// responses of other attempts.
type simulator struct {
	t        *rapid.T
	machine  *Machine
	events   int
	emitted  int
	finished bool
	failed   *failure.Failure
	// started counts attempts that an engine started.
	started        int
	attempts       []string
	pendingActions []Action
	// mismatched is set while the responding engine is not the one selected for the
	// attempt.
	mismatched bool
}

type fixedBudget struct{ remaining int }

func (budget *fixedBudget) Withdraw(time.Time) bool {
	budget.remaining--
	return budget.remaining >= 0
}

func eventText(offset int) string { return fmt.Sprintf("token %d", offset) }

func (simulator *simulator) step(event Event) {
	simulator.pendingActions = append(simulator.pendingActions, simulator.machine.Step(time.Unix(0, 0), event)...)
}

func (simulator *simulator) event(offset int) engineapi.Event {
	if offset == simulator.events {
		return engineapi.Event{Offset: offset, Data: []byte("[DONE]"), Done: true}
	}
	if simulator.mismatched {
		return engineapi.Event{Offset: offset, Data: []byte("text of other weights")}
	}
	return engineapi.Event{Offset: offset, Data: []byte(eventText(offset))}
}

func (simulator *simulator) run() {
	simulator.pendingActions = simulator.machine.Start()
	for count := 0; len(simulator.pendingActions) > 0; count++ {
		require.Less(simulator.t, count, 10_000, "the request must finish")
		next := simulator.pendingActions[0]
		simulator.pendingActions = simulator.pendingActions[1:]
		simulator.perform(next)
	}
}

func (simulator *simulator) perform(action Action) {
	switch action := action.(type) {
	case Place:
		if rapid.IntRange(0, 9).Draw(simulator.t, "placement") == 0 {
			simulator.step(NotPlaced{Failure: failure.New(failure.KindNoEndpoint, "none", "wait")})
			return
		}
		attempt := fmt.Sprintf("attempt-%d", len(simulator.attempts))
		simulator.attempts = append(simulator.attempts, attempt)
		simulator.step(Placed{Attempt: attempt, Target: Target{Endpoint: attempt, Epoch: "epoch", Weights: "v1"}})
	case Send:
		require.Equal(simulator.t, simulator.emitted, action.ContinueAt, "an attempt continues at the caller's offset")
		simulator.openAttempt(action.Attempt, action.ContinueAt)
	case Resume:
		require.Equal(simulator.t, simulator.emitted-1, action.AfterOffset)
		simulator.streamEvents(action.Attempt, action.AfterOffset+1)
	case Emit:
		require.Equal(simulator.t, eventText(simulator.emitted), string(action.Data), "events are complete, in order and from the right attempt")
		simulator.emitted++
	case Finish:
		require.Equal(simulator.t, simulator.events, simulator.emitted, "only a complete response is finished")
		simulator.finished = true
	case Fail:
		simulator.failed = action.Failure
	}
}

// openAttempt simulates the response to a new attempt.
func (simulator *simulator) openAttempt(attempt string, from int) {
	behavior := rapid.SampledFrom([]string{"serve", "serve", "serve", "not started", "dies", "other epoch", "other weights", "other attempt"}).Draw(simulator.t, "answer")
	simulator.mismatched = strings.HasPrefix(behavior, "other")
	switch behavior {
	case "not started":
		simulator.step(NotStarted{Attempt: attempt, Reason: "leaving"})
		return
	case "dies":
		simulator.started++
		simulator.step(Broken{Attempt: attempt, Reason: "reset"})
		return
	case "other epoch":
		simulator.step(Opened{Attempt: attempt, Identity: engineapi.ServerIdentity{Attempt: attempt, Epoch: "newer", Weights: "v1"}})
	case "other weights":
		simulator.step(Opened{Attempt: attempt, Identity: engineapi.ServerIdentity{Attempt: attempt, Epoch: "epoch", Weights: "v0"}})
	case "other attempt":
		simulator.step(Opened{Attempt: attempt, Identity: engineapi.ServerIdentity{Attempt: "crossed", Epoch: "epoch", Weights: "v1"}})
	default:
		simulator.step(Opened{Attempt: attempt, Identity: engineapi.ServerIdentity{Attempt: attempt, Epoch: "epoch", Weights: "v1"}})
	}
	simulator.started++
	simulator.streamEvents(attempt, from)
}

// streamEvents sends events from an offset on with drawn faults, followed by the
// end of the connection.
func (simulator *simulator) streamEvents(attempt string, from int) {
	for offset := from; offset <= simulator.events && len(simulator.pendingActions) == 0; {
		switch rapid.SampledFrom([]string{"next", "next", "next", "next", "repeat", "swap", "skip", "crossed", "late", "cut"}).Draw(simulator.t, "event") {
		case "next":
			simulator.step(Received{Attempt: attempt, Event: simulator.event(offset)})
			offset++
		case "repeat":
			simulator.step(Received{Attempt: attempt, Event: simulator.event(max(0, offset-1))})
		case "swap":
			if offset < simulator.events {
				simulator.step(Received{Attempt: attempt, Event: simulator.event(offset + 1)})
				simulator.step(Received{Attempt: attempt, Event: simulator.event(offset)})
				offset += 2
			}
		case "skip":
			offset++
		case "crossed":
			simulator.step(Received{Attempt: "someone else's", Event: engineapi.Event{Offset: offset, Data: []byte("wrong")}})
		case "late":
			earlier := rapid.SampledFrom(simulator.attempts).Draw(simulator.t, "earlier")
			if earlier != attempt {
				simulator.step(Received{Attempt: earlier, Event: engineapi.Event{Offset: offset, Data: []byte("wrong")}})
				simulator.step(Broken{Attempt: earlier, Reason: "late"})
			}
		case "cut":
			simulator.step(Broken{Attempt: attempt, Reason: "cut"})
			return
		}
		// Emit actions do not interrupt the stream.
		for len(simulator.pendingActions) > 0 {
			emit, isEmit := simulator.pendingActions[0].(Emit)
			if !isEmit {
				return
			}
			simulator.pendingActions = simulator.pendingActions[1:]
			simulator.perform(emit)
		}
	}
	if len(simulator.pendingActions) == 0 && !simulator.machine.Finished() {
		simulator.step(Broken{Attempt: attempt, Reason: "end of connection"})
	}
}

func TestResponsesAreCompleteAndOutcomesAccurate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		budget := &fixedBudget{remaining: rapid.IntRange(0, 6).Draw(t, "budget")}
		simulator := &simulator{t: t, machine: NewMachine(DefaultLimits, budget), events: rapid.IntRange(1, 30).Draw(t, "events")}
		simulator.run()
		require.True(t, simulator.machine.Finished())
		require.True(t, simulator.finished != (simulator.failed != nil), "a request has exactly one result")
		if simulator.failed != nil && simulator.failed.Outcome == failure.NotRun {
			require.Zero(t, simulator.started, "not-run is reported only if no engine started the request")
		}
		require.LessOrEqual(t, len(simulator.attempts), DefaultLimits.MaxAttempts)
	})
}

func TestDeadlineFailsOnceAndCancelsAttempt(t *testing.T) {
	machine := NewMachine(DefaultLimits, &fixedBudget{remaining: 1})
	machine.Start()
	machine.Step(time.Unix(0, 0), Placed{Attempt: "a", Target: Target{Endpoint: "e"}})
	actions := machine.Step(time.Unix(1, 0), Expired{})
	require.Len(t, actions, 2)
	require.IsType(t, Cancel{}, actions[0])
	refusal := actions[1].(Fail).Failure
	require.Equal(t, failure.Unknown, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	require.Empty(t, machine.Step(time.Unix(2, 0), Expired{}))
}

func TestCompleteTextEndsWithoutContinuation(t *testing.T) {
	machine := NewMachine(DefaultLimits, &fixedBudget{remaining: 1})
	machine.Start()
	machine.Step(time.Unix(0, 0), Placed{Attempt: "a", Target: Target{Endpoint: "e"}})
	machine.Step(time.Unix(0, 0), Opened{Attempt: "a", Identity: engineapi.ServerIdentity{Attempt: "a"}})
	machine.Step(time.Unix(0, 0), Received{Attempt: "a", Event: engineapi.Event{Offset: 0, Data: []byte("all")}})
	machine.Step(time.Unix(0, 0), TextComplete{})
	require.Equal(t, []Action{Finish{}}, machine.Step(time.Unix(0, 0), Broken{Attempt: "a"}))
}

// Guards against a promise that a request did not run, since an engine has rejected it, although another one may have run it.
func TestRejectionAfterLostAttemptPromisesNothing(t *testing.T) {
	machine := NewMachine(DefaultLimits, &fixedBudget{remaining: 3})
	machine.Start()
	now := time.Time{}
	machine.Step(now, Placed{Attempt: "a", Target: Target{Endpoint: "e-1"}})
	machine.Step(now, Broken{Attempt: "a", Reason: "reset"})
	machine.Step(now, Placed{Attempt: "b", Target: Target{Endpoint: "e-2"}})
	actions := machine.Step(now, Rejected{Attempt: "b", Status: 400})
	require.Equal(t, []Action{ForwardRejection{Status: 400, Outcome: failure.Unknown}}, actions)

	first := NewMachine(DefaultLimits, &fixedBudget{})
	first.Start()
	first.Step(now, Placed{Attempt: "a"})
	require.Equal(t, []Action{ForwardRejection{Status: 400, Outcome: failure.NotRun}}, first.Step(now, Rejected{Attempt: "a", Status: 400}))
}
