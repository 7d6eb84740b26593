package exchange

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/property"
)

// fixedBudget is a Budget of a fixed number of retries.
type fixedBudget struct{ remaining int }

func (fixedBudget *fixedBudget) Withdraw(time.Time) bool {
	if fixedBudget.remaining == 0 {
		return false
	}
	fixedBudget.remaining--
	return true
}

// checker drives a machine with events and checks the invariants of its actions.
type checker struct {
	t       *rapid.T
	rules   Rules
	machine *Machine
	now     time.Time

	placing  bool
	inFlight bool
	// mayRun is set while a server may work on an attempt, releasing while its end there is awaited, awaitsRetry while
	// the budget is, and awaitedRetry from then on until the next attempt.
	mayRun       bool
	releasing    bool
	awaitsRetry  bool
	awaitedRetry bool
	// possibleRuns counts the attempts that may have run, and cutOffRuns those of them that a failed path cut off. broke is
	// how the attempt broke that is being released.
	possibleRuns int
	cutOffRuns   int
	broke        *Broken
	sends        int
	heads        int
	forwards     int
	lastID       int64
	ended        bool
	streaming    bool
	// answered is set once a response may be delivered.
	answered bool
	// silentOnly is set while the caller has events of a stream that was given up for its server's silence, or cut off by a
	// failed path, and nothing else has ended it since. mayAbort is set if the latest event may end such a stream.
	silentOnly, mayAbort bool
	// silent is set while an attempt of a stream that has begun is given up, or was to be, for its server's silence.
	silent bool
}

func (checker *checker) checkActions(actions []Action) {
	for _, action := range actions {
		require.False(checker.t, checker.ended, "%T after the request has ended", action)
		switch action := action.(type) {
		case Place:
			require.False(checker.t, checker.mayRun, "placed while a server may work on the request")
			checker.placing, checker.inFlight = true, false
		case AwaitRelease:
			checker.releasing, checker.inFlight = true, false
		case AwaitRetry:
			checker.awaitsRetry, checker.inFlight, checker.mayRun = true, false, false
		case Send:
			checker.mayRun = true
			checker.sends++
			require.True(checker.t, checker.sends <= checker.rules.MaxSends || checker.awaitedRetry && checker.silentOnly, "more sends than are allowed")
			checker.awaitedRetry = false
			if checker.possibleRuns > 0 {
				require.True(checker.t, checker.rules.Repeatable, "retried although an attempt may have run")
			}
			checker.possibleRuns++
			checker.inFlight = true
			if checker.lastID >= 0 {
				require.True(checker.t, action.Resumes)
				require.Equal(checker.t, checker.lastID, action.After)
			}
		case Open:
			checker.heads++
		case Forward:
			require.Equal(checker.t, 1, checker.heads, "an event without a head")
			checker.forwards++
		case Deliver:
			require.Zero(checker.t, checker.heads, "a second head")
			require.True(checker.t, checker.answered, "no response that may be delivered")
			checker.heads++
			checker.ended = true
		case Finish:
			checker.ended = true
		case Cut:
			require.Equal(checker.t, 1, checker.heads)
			require.Positive(checker.t, checker.forwards, "a response with a head and nothing else was aborted")
			require.True(checker.t, !checker.silentOnly || checker.mayAbort, "a stream was aborted for its server's silence")
			checker.ended = true
		case Fail:
			require.Zero(checker.t, checker.heads)
			require.Equal(checker.t, action.Failure.Outcome == failure.NotRun, checker.possibleRuns == 0, "the outcome contradicts the attempts")
			checker.ended = true
		}
	}
	require.LessOrEqual(checker.t, checker.heads, 1)
	require.LessOrEqual(checker.t, checker.possibleRuns-checker.cutOffRuns, checker.rules.MaxRuns)
}

func (checker *checker) step(event Event) {
	checker.recordSilence(event)
	switch event.(type) {
	case Answered:
		checker.answered = true
	}
	switch event := event.(type) {
	case Refused, Unreached:
		checker.possibleRuns--
		checker.inFlight, checker.mayRun = false, false
	case Answered, Unvouched, Ended:
		checker.inFlight, checker.mayRun = false, false
	case Released:
		if checker.cutOffByPath(event) {
			checker.cutOffRuns++
		}
		checker.releasing, checker.mayRun, checker.broke, checker.silent = false, false, nil, false
	case RetryDue:
		checker.awaitedRetry = true
	case Broken:
		checker.inFlight, checker.broke = false, &event
	case Late:
		checker.inFlight = false
	}
	actions := checker.machine.Step(checker.now, event)
	if arrived, isEvent := event.(Arrived); isEvent && len(actions) > 0 {
		require.Greater(checker.t, arrived.ID, checker.lastID, "an event was forwarded twice or out of order")
		checker.lastID = arrived.ID
	}
	checker.checkActions(actions)
}

// cutOffByPath reports whether the end of a release shows that the stream was cut off by a failed path.
func (checker *checker) cutOffByPath(released Released) bool {
	failed := released.Reason == ReleaseUnreachable
	return checker.forwards > 0 && (checker.broke != nil && (checker.broke.PathFailed || failed) || checker.silent && failed)
}

// recordSilence records before a step whether the stream was given up for its server's silence alone.
func (checker *checker) recordSilence(event Event) {
	checker.mayAbort = false
	switch event := event.(type) {
	case Silent:
		checker.silent = checker.silent || checker.inFlight
		checker.silentOnly = checker.silentOnly || checker.forwards > 0 && checker.inFlight
	case Arrived, Broken, Late, Answered, Unvouched:
		checker.silentOnly, checker.silent = false, false
	case Released:
		checker.silentOnly = checker.silentOnly || checker.cutOffByPath(event)
	case Expired, CallerLeft, Stopping:
		checker.mayAbort = true
	case Unplaced:
		checker.mayAbort = event.Expired
	}
}

// drawEvent draws an event that is possible in the current state.
func (checker *checker) drawEvent() Event {
	if checker.releasing {
		return rapid.SampledFrom([]Event{
			Released{Reason: ReleaseEnded}, Released{Reason: ReleaseOverdue}, Released{Reason: ReleaseUnreachable}, Silent{}, Expired{}, CallerLeft{}, Stopping{},
		}).Draw(checker.t, "release")
	}
	if checker.awaitsRetry {
		checker.awaitsRetry = false
		return rapid.SampledFrom([]Event{RetryDue{}, RetryDue{}, RetryDue{}, Expired{}, CallerLeft{}, Stopping{}}).Draw(checker.t, "retry")
	}
	if checker.placing && !checker.inFlight {
		checker.placing = false
		checker.streaming = false
		return rapid.SampledFrom([]Event{
			Placed{Server: fmt.Sprint("s", checker.sends)}, Placed{Server: fmt.Sprint("s", checker.sends)},
			Unplaced{Reason: "full"}, Unplaced{Reason: "gone", Permanent: true}, Unplaced{Expired: true}, Expired{}, CallerLeft{}, Stopping{},
		}).Draw(checker.t, "placement")
	}
	if checker.streaming {
		next := max(0, checker.lastID+int64(rapid.IntRange(-1, 2).Draw(checker.t, "id")))
		return rapid.SampledFrom([]Event{
			Arrived{ID: next, HasID: true}, Arrived{ID: next, HasID: true}, Broken{Reason: "reset"}, Broken{PathFailed: true}, Ended{}, Silent{}, Expired{}, CallerLeft{}, Stopping{},
		}).Draw(checker.t, "stream")
	}
	event := rapid.SampledFrom([]Event{
		Opened{}, Opened{}, Answered{}, Answered{Faulty: true}, Unvouched{Status: http.StatusServiceUnavailable}, Refused{Reason: "full"}, Unreached{Reason: "dark"},
		Broken{Reason: "reset"}, Broken{PathFailed: true}, Silent{}, Late{}, Expired{}, CallerLeft{}, Stopping{},
	}).Draw(checker.t, "attempt")
	_, checker.streaming = event.(Opened)
	return event
}

func TestMachineInvariantsHoldForAnyEvents(t *testing.T) {
	property.CheckMany(t, 2000, func(t *rapid.T) {
		rules := Rules{
			Repeatable:    rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:       rapid.IntRange(1, 3).Draw(t, "runs"),
			MaxSends:      rapid.IntRange(1, DefaultMaxSends).Draw(t, "sends"),
			PlacementWait: 50 * time.Millisecond,
		}
		budget := &fixedBudget{remaining: rapid.IntRange(0, 4).Draw(t, "budget")}
		checker := &checker{t: t, rules: rules, machine: NewMachine(rules, budget, nil), now: time.Unix(0, 0), lastID: -1}
		checker.checkActions(checker.machine.Start(checker.now))
		for range 200 {
			if checker.ended {
				break
			}
			checker.now = checker.now.Add(10 * time.Millisecond)
			checker.step(checker.drawEvent())
		}
		require.Equal(t, checker.ended, checker.machine.Finished())
		require.Empty(t, checker.machine.Step(checker.now, Arrived{ID: 99, HasID: true}), "no actions after the request has ended")
	})
}

// Guards against streams that are aborted by the node's own decision: their server was silent for a moment, and they were
// given up for another one.
func TestSilentStreamIsNotAbortedForAnyEvents(t *testing.T) {
	property.CheckMany(t, 2000, func(t *rapid.T) {
		rules := Rules{Repeatable: true, MaxRuns: rapid.IntRange(2, 3).Draw(t, "runs"), MaxSends: rapid.IntRange(2, DefaultMaxSends).Draw(t, "sends"), PlacementWait: 50 * time.Millisecond}
		budget := &fixedBudget{remaining: rapid.IntRange(1, 3).Draw(t, "budget")}
		checker := &checker{t: t, rules: rules, machine: NewMachine(rules, budget, nil), now: time.Unix(0, 0), lastID: -1}
		checker.checkActions(checker.machine.Start(checker.now))
		for _, event := range []Event{Placed{Server: "s0"}, Opened{}, Arrived{ID: 0, HasID: true}, Silent{}, Released{Reason: ReleaseEnded}} {
			checker.step(event)
		}
		for range 50 {
			if checker.ended {
				break
			}
			checker.now = checker.now.Add(10 * time.Millisecond)
			checker.step(checker.drawEvent())
			if checker.awaitsRetry && rapid.IntRange(0, 3).Draw(t, "earned") == 0 {
				budget.remaining++
			}
		}
	})
}

// lastActions runs a machine through a sequence of events and returns the actions of the last.
func lastActions(rules Rules, budget int, resumeAfter *int64, events ...Event) []Action {
	now := time.Unix(0, 0)
	machine := NewMachine(rules, &fixedBudget{remaining: budget}, resumeAfter)
	actions := machine.Start(now)
	for _, event := range events {
		actions = machine.Step(now, event)
	}
	return actions
}

var (
	singleRun = Rules{MaxRuns: 1, MaxSends: 6}
	twoRuns   = Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6}
)

func TestRetriesRefusedButNotBrokenAttempt(t *testing.T) {
	require.Contains(t, lastActions(singleRun, 1, nil, Placed{Server: "a"}, Refused{}), Place{Excluded: []string{"a"}})
	require.Contains(t, lastActions(singleRun, 0, nil, Placed{Server: "a"}, Unreached{}), Place{Excluded: []string{"a"}}, "an attempt that was not sent costs no budget")
	broken := lastActions(singleRun, 9, nil, Placed{Server: "a"}, Broken{})
	require.Equal(t, failure.Unknown, broken[1].(Fail).Failure.Outcome)
	denied := lastActions(singleRun, 0, nil, Placed{Server: "a"}, Refused{})
	require.Equal(t, failure.NotRun, denied[1].(Fail).Failure.Outcome)
}

// Guards against requests that are given up without a word about the rule that stood against another attempt.
func TestFailureNamesRuleAgainstRetry(t *testing.T) {
	begun := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}, Placed{Server: "b"}}
	for denied, actions := range map[retryDenial][]Action{
		deniedRepeat:   lastActions(singleRun, 9, nil, Placed{Server: "a"}, Broken{}),
		deniedByRuns:   lastActions(twoRuns, 9, nil, append(begun, Broken{}, Released{})...),
		deniedBySends:  lastActions(Rules{Repeatable: true, MaxRuns: 2, MaxSends: 1}, 9, nil, Placed{Server: "a"}, Refused{}),
		deniedByBudget: lastActions(singleRun, 0, nil, Placed{Server: "a"}, Refused{}),
	} {
		var problem string
		switch last := actions[len(actions)-1].(type) {
		case Fail:
			problem = last.Failure.Problem
		case Cut:
			problem = last.Failure.Problem
		}
		require.Contains(t, problem, string(denied))
	}
}

func TestStreamResumesAfterLastEvent(t *testing.T) {
	events := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Arrived{ID: 3, HasID: true}, Broken{}, Placed{Server: "b"}}
	require.Equal(t, []Action{Send{Resumes: true, After: 3}}, lastActions(twoRuns, 1, nil, events...))
	require.Empty(t, lastActions(twoRuns, 1, nil, append(events, Opened{})...), "the caller already has a head")
	require.Empty(t, lastActions(twoRuns, 1, nil, append(events, Opened{}, Arrived{ID: 3, HasID: true})...), "the caller already has this event")
	require.Equal(t, []Action{Forward{}}, lastActions(twoRuns, 1, nil, append(events, Opened{}, Arrived{ID: 4, HasID: true})...))
	after := int64(7)
	require.Equal(t, []Action{Send{Resumes: true, After: 7}}, lastActions(twoRuns, 1, &after, Placed{Server: "a"}))
}

func TestServerErrorIsStashedUntilRetryCompletes(t *testing.T) {
	events := []Event{Placed{Server: "a"}, Answered{Faulty: true}, Placed{Server: "b"}}
	require.Contains(t, lastActions(twoRuns, 1, nil, append(events, Broken{})...), Deliver{})
	require.Contains(t, lastActions(twoRuns, 1, nil, append(events, Expired{})...), Deliver{})
	require.Equal(t, []Action{Deliver{}}, lastActions(twoRuns, 1, nil, append(events, Answered{})...))
	require.Equal(t, []Action{Deliver{}}, lastActions(singleRun, 1, nil, Placed{Server: "a"}, Answered{Faulty: true}), "the attempt may have run")
}

// Guards against a promise that nobody gives: a response whose status says that the request did not run, without a
// statement of its server, is not delivered.
func TestUnvouchedPromiseIsNotDelivered(t *testing.T) {
	unvouched := Unvouched{Status: http.StatusServiceUnavailable}
	failed := lastActions(singleRun, 9, nil, Placed{Server: "a"}, unvouched)
	require.Equal(t, Cancel{}, failed[0])
	require.Equal(t, failure.Unknown, failed[1].(Fail).Failure.Outcome)
	events := []Event{Placed{Server: "a"}, unvouched, Placed{Server: "b"}}
	require.Equal(t, []Action{Cancel{}, Place{Excluded: []string{"a"}}}, lastActions(twoRuns, 1, nil, events[:2]...), "as after any failure of a server")
	require.Equal(t, failure.Unknown, lastActions(twoRuns, 0, nil, events[:2]...)[1].(Fail).Failure.Outcome, "no budget")
	require.Equal(t, failure.Unknown, lastActions(twoRuns, 2, nil, append(events, Refused{}, Unplaced{Permanent: true})...)[0].(Fail).Failure.Outcome, "the first attempt may have run")
	require.Equal(t, []Action{Deliver{}}, lastActions(twoRuns, 1, nil, append(events, Answered{})...))
	stashed := []Event{Placed{Server: "a"}, Answered{Faulty: true}, Placed{Server: "b"}, unvouched}
	require.Equal(t, []Action{Cancel{}, Deliver{}}, lastActions(twoRuns, 1, nil, stashed...), "the failure that the first server gave")
	stream := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Broken{}, Released{}, Placed{Server: "b"}, unvouched}
	require.IsType(t, Cut{}, lastActions(twoRuns, 1, nil, stream...)[1], "the caller has the head of a stream")
	require.Equal(t, []Action{Cancel{}, Place{Excluded: []string{"a", "b"}}}, lastActions(Rules{Repeatable: true, MaxRuns: 3, MaxSends: 6}, 2, nil, stream...))
}

// Guards against requests that fail, and streams that are cut, since their server was silent for a moment and no other one
// can serve them.
func TestSilentServerIsUsedAgainIfNoOtherCanServe(t *testing.T) {
	unavailable := Unplaced{Permanent: true}
	rules := Rules{Repeatable: true, MaxRuns: 3, MaxSends: 6}
	begun := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}}
	refused := append(begun, Placed{Server: "b"}, Refused{}, unavailable)
	require.Equal(t, []Action{Place{Excluded: []string{"b"}, Readmitted: []string{"a"}}}, lastActions(rules, 9, nil, refused...), "the server that refused stays excluded")
	require.Equal(t, []Action{Send{Resumes: true, After: 1}}, lastActions(rules, 9, nil, append(refused, Placed{Server: "a"})...))
	require.Equal(t, []Action{Place{Excluded: []string{}, Readmitted: []string{"a"}}}, lastActions(rules, 9, nil, append(begun, unavailable)...))
	require.IsType(t, Cut{}, lastActions(rules, 9, nil, append(refused, Placed{Server: "a"}, Broken{}, Released{}, unavailable)...)[0], "it failed then")
	again := append(refused, Placed{Server: "a"}, Silent{}, Released{}, unavailable)
	require.Equal(t, []Action{Place{Excluded: []string{"b"}, Readmitted: []string{"a"}}}, lastActions(rules, 9, nil, again...), "silent once more, within the bound of runs")
	require.Empty(t, lastActions(rules, 9, nil, append(again, Placed{Server: "a"}, Silent{})...), "no more runs: the attempt goes on")
	refusal := failure.New(failure.KindQuarantined, "", "")
	require.IsType(t, Fail{}, lastActions(rules, 9, nil, Placed{Server: "a"}, Silent{}, Released{}, Unplaced{Refusal: refusal, Permanent: true})[0])
}

// Guards against streams that are cut since their server was silent for a moment, and no other server or retry was available
// at once.
func TestStreamOfSilentServerIsContinuedOncePossible(t *testing.T) {
	unavailable := Unplaced{Permanent: true}
	rules := Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6}
	silent := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}}
	refused := append(silent, Placed{Server: "b"}, Refused{})
	wait := AwaitRetry{Delay: continuationDelay}
	require.Equal(t, []Action{Cancel{}, wait}, lastActions(rules, 1, nil, refused...), "the budget is spent")
	require.Equal(t, []Action{wait}, lastActions(rules, 1, nil, append(refused, RetryDue{})...), "it still is")

	budget := &fixedBudget{remaining: 1}
	machine := NewMachine(rules, budget, nil)
	now := time.Unix(0, 0)
	machine.Start(now)
	for _, event := range refused {
		machine.Step(now, event)
	}
	budget.remaining = 1
	require.Equal(t, []Action{Place{Excluded: []string{"a", "b"}}}, machine.Step(now, RetryDue{}))
	require.Equal(t, []Action{Place{Excluded: []string{"b"}, Readmitted: []string{"a"}}}, machine.Step(now, unavailable), "the silent server may go on")
	require.Equal(t, []Action{Place{Excluded: []string{}, Delay: continuationDelay}}, machine.Step(now, unavailable), "it is not eligible either")
	require.Equal(t, []Action{Send{Resumes: true, After: 1}}, machine.Step(now, Placed{Server: "a"}))

	for name, last := range map[string]Event{
		"deadline": Expired{}, "placement after the deadline": Unplaced{Expired: true}, "stop": Stopping{}, "caller": CallerLeft{}, "final": Unplaced{Permanent: true, Final: true},
		"refusal": Unplaced{Permanent: true, Refusal: failure.New(failure.KindOtherSoftware, "", "")},
	} {
		actions := lastActions(rules, 1, nil, append(silent, unavailable, unavailable, last)...)
		require.IsType(t, Cut{}, actions[0], name)
	}
	require.IsType(t, Cut{}, lastActions(rules, 1, nil, append(refused, Expired{})...)[0], "while it waits for a retry")
	broken := append(silent, Placed{Server: "b"}, Broken{}, Released{})
	require.IsType(t, Cut{}, lastActions(rules, 9, nil, broken...)[1], "the other server broke the stream off")
	noEvent := []Event{Placed{Server: "a"}, Opened{}, Silent{}, Released{}, Placed{Server: "b"}, Refused{}}
	require.IsType(t, Fail{}, lastActions(rules, 1, nil, noEvent...)[1], "the caller has no event, and gets a failure at once")
}

// Guards against streams that wait until their deadline although servers can continue them: each was full or out of reach for
// a moment when it was tried, and never tried again.
func TestStreamOfSilentServerReturnsToServersThatDeclined(t *testing.T) {
	unavailable := Unplaced{Permanent: true}
	rules := Rules{Repeatable: true, MaxRuns: 3, MaxSends: 6}
	silent := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}}
	for name, declined := range map[string]Event{"full": Refused{}, "out of reach": Unreached{}} {
		both := append(silent, Placed{Server: "b"}, declined, unavailable, Placed{Server: "a"}, declined, unavailable)
		require.Equal(t, []Action{Place{Excluded: []string{}, Delay: continuationDelay}}, lastActions(rules, 9, nil, both...), name)
		require.Equal(t, []Action{Send{Resumes: true, After: 1}}, lastActions(rules, 9, nil, append(both, Placed{Server: "b"})...), name)
	}
	broken := append(silent, Placed{Server: "b"}, Broken{}, Released{}, Placed{Server: "c"}, Opened{}, Arrived{ID: 2, HasID: true})
	rules.MaxRuns = 4
	again := append(broken, Silent{}, Released{}, Placed{Server: "d"}, Refused{}, unavailable, unavailable)
	require.Equal(t, []Action{Place{Excluded: []string{"b"}, Delay: continuationDelay}}, lastActions(rules, 9, nil, again...), "the server that broke it off stays excluded")
}

// Guards against streams that are aborted since their server was silent for a moment, and as many servers as a request may be
// sent to refused them.
func TestStreamOfSilentServerOutlastsRefusals(t *testing.T) {
	rules := Rules{Repeatable: true, MaxRuns: 2, MaxSends: 2}
	refused := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}, Placed{Server: "b"}, Refused{}}
	wait := AwaitRetry{Delay: continuationDelay}
	require.Equal(t, []Action{Cancel{}, wait}, lastActions(rules, 9, nil, refused...))
	require.Equal(t, []Action{wait}, lastActions(rules, 1, nil, append(refused, RetryDue{})...), "each further attempt is charged to the budget")
	placed := append(refused, RetryDue{}, Placed{Server: "c"})
	require.Equal(t, []Action{Send{Resumes: true, After: 1}}, lastActions(rules, 2, nil, placed...))
	require.Equal(t, []Action{Cancel{}, wait}, lastActions(rules, 2, nil, append(placed, Unreached{})...), "an attempt that reaches no server, too")
	require.IsType(t, Cut{}, lastActions(rules, 9, nil, append(placed, Broken{}, Released{})...)[1], "a server broke it off")
	noEvent := []Event{Placed{Server: "a"}, Refused{}, Placed{Server: "b"}, Refused{}}
	require.IsType(t, Fail{}, lastActions(rules, 9, nil, noEvent...)[1], "the caller has nothing yet")
}

// Guards against streams that end without their end since each attempt to continue them is cut off by a failed path: they
// spend the runs that their route allows, and no server is left.
func TestStreamCutOffByFailedPathGoesOn(t *testing.T) {
	unavailable := Unplaced{Permanent: true}
	begun := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Broken{}}
	unreachable := Released{Reason: ReleaseUnreachable}
	require.Equal(t, []Action{Cancel{}, AwaitRelease{}}, lastActions(twoRuns, 9, nil, begun...), "it waits for the verdict")
	for name, reason := range map[string]Event{"ended": Released{Reason: ReleaseEnded}, "overdue": Released{Reason: ReleaseOverdue}} {
		require.Equal(t, []Action{Cancel{}, Place{Excluded: []string{"a"}}}, lastActions(twoRuns, 9, nil, append(begun, reason)...), name)
	}
	forwarded := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Broken{PathFailed: true}, Released{Reason: ReleaseEnded}}
	require.Equal(t, []Action{Cancel{}, Place{}}, lastActions(twoRuns, 9, nil, forwarded...), "another node's path has failed")
	cutOff := append(begun, unreachable)
	require.Equal(t, []Action{Cancel{}, Place{}}, lastActions(twoRuns, 9, nil, cutOff...), "the server may be used again")
	for range 3 {
		cutOff = append(cutOff, Placed{Server: "b"}, Broken{}, unreachable)
	}
	require.Equal(t, []Action{Cancel{}, Place{}}, lastActions(twoRuns, 9, nil, cutOff...), "such attempts are no runs")
	require.Equal(t, []Action{Send{Resumes: true, After: 1}}, lastActions(twoRuns, 9, nil, append(cutOff, Placed{Server: "a"})...))
	require.Equal(t, []Action{Cancel{}, AwaitRetry{Delay: continuationDelay}}, lastActions(twoRuns, 3, nil, cutOff...), "each is charged to the budget")
	require.Equal(t, []Action{Place{Delay: continuationDelay}}, lastActions(twoRuns, 9, nil, append(cutOff, unavailable)...), "it waits for a server")
	broken := append(forwarded, Placed{Server: "b"}, Broken{}, Released{Reason: ReleaseEnded}, Placed{Server: "a"}, Broken{}, Released{Reason: ReleaseEnded})
	require.Contains(t, lastActions(twoRuns, 9, nil, broken...)[1].(Cut).Failure.Problem, string(deniedByRuns), "two servers broke it off")
	require.IsType(t, Fail{}, lastActions(twoRuns, 0, nil, Placed{Server: "a"}, Broken{})[1], "the caller has nothing yet")
	require.IsType(t, Cut{}, lastActions(singleRun, 9, nil, begun...)[1], "it may not run again")
}

// Guards against streams that spend their runs at servers whose paths have failed and left them silent.
func TestSilentStreamOnFailedPathSpendsNoRun(t *testing.T) {
	events := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}}
	for range 3 {
		events = append(events, Silent{}, Released{Reason: ReleaseUnreachable})
		require.Equal(t, []Action{Place{}}, lastActions(twoRuns, 9, nil, events...), "the server may be used again")
		events = append(events, Placed{Server: "a"})
		require.Equal(t, []Action{Send{Resumes: true, After: 1}}, lastActions(twoRuns, 9, nil, events...))
	}
	silent := append(events, Silent{}, Released{Reason: ReleaseOverdue}, Placed{Server: "b"}, Silent{})
	require.Empty(t, lastActions(twoRuns, 9, nil, silent...), "other silences are runs")
	require.Equal(t, []Action{Place{Excluded: []string{"a"}}}, lastActions(twoRuns, 9, nil, Placed{Server: "a"}, Silent{}, Released{Reason: ReleaseUnreachable}), "the caller has nothing yet")
}

// Guards against a refusal for lack of free servers because of the time in which the previous server ended its attempt.
func TestPlacementWaitBeginsWithRelease(t *testing.T) {
	machine := NewMachine(Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6, PlacementWait: 50 * time.Millisecond}, &fixedBudget{remaining: 1}, nil)
	now := time.Unix(0, 0)
	machine.Start(now)
	machine.Step(now, Placed{Server: "a"})
	require.Equal(t, []Action{Cancel{}, AwaitRelease{}}, machine.Step(now, Silent{}))
	now = now.Add(time.Second)
	require.Equal(t, []Action{Place{Excluded: []string{"a"}}}, machine.Step(now, Released{}))
	require.Equal(t, []Action{Place{Excluded: []string{"a"}, Delay: placementRetryDelay}}, machine.Step(now.Add(40*time.Millisecond), Unplaced{}))
}

func TestPlacementWaitIsBounded(t *testing.T) {
	rules := Rules{MaxRuns: 1, MaxSends: 6, PlacementWait: 50 * time.Millisecond, RetryAfter: time.Second}
	machine := NewMachine(rules, &fixedBudget{}, nil)
	start := time.Unix(0, 0)
	machine.Start(start)
	require.Equal(t, []Action{Place{Delay: placementRetryDelay}}, machine.Step(start.Add(40*time.Millisecond), Unplaced{}))
	final := machine.Step(start.Add(60*time.Millisecond), Unplaced{})[0].(Fail).Failure
	require.Equal(t, failure.NotRun, final.Outcome)
	require.Equal(t, time.Second, final.RetryAfter, "the failure carries the retry delay")
}

// Guards against a request whose time is up being reported as one for which there is no server, if the deadline passes before
// the next attempt is placed.
func TestDeadlineDuringPlacementIsReported(t *testing.T) {
	rules := Rules{Repeatable: true, MaxRuns: 3, MaxSends: 6}
	expired := Unplaced{Expired: true}
	begun := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}}
	cut := lastActions(rules, 9, nil, append(begun, expired)...)
	require.IsType(t, Cut{}, cut[0], "the silent server is not tried again")
	require.Equal(t, failure.KindDeadline, cut[0].(Cut).Failure.Kind)
	unanswered := lastActions(rules, 9, nil, Placed{Server: "a"}, Silent{}, Released{}, expired)[0].(Fail).Failure
	require.Equal(t, failure.KindDeadline, unanswered.Kind)
	require.Equal(t, failure.Unknown, unanswered.Outcome, "the first attempt may have run")
	require.Equal(t, failure.KindDeadline, lastActions(rules, 9, nil, expired)[0].(Fail).Failure.Kind)
}

// Guards against streams that are cut since their server was silent for a moment, and the list of servers lacked those that may go on
// with them while it was written again.
func TestStreamOfSilentServerOutlastsTemporaryRefusal(t *testing.T) {
	rules := Rules{Repeatable: true, MaxRuns: 3, MaxSends: 6}
	refusal := failure.New(failure.KindOtherSoftware, "", "")
	temporary := Unplaced{Permanent: true, Refusal: refusal.WithRetryAfter(time.Second)}
	silent := []Event{Placed{Server: "a"}, Opened{}, Arrived{ID: 1, HasID: true}, Silent{}, Released{}}
	refused := append(silent, temporary, temporary)
	require.Equal(t, []Action{Place{Excluded: []string{}, Delay: continuationDelay}}, lastActions(rules, 9, nil, refused...))
	require.Equal(t, []Action{Send{Resumes: true, After: 1}}, lastActions(rules, 9, nil, append(refused, Placed{Server: "a"})...))
	require.IsType(t, Cut{}, lastActions(rules, 9, nil, append(refused, Unplaced{Permanent: true, Refusal: refusal})...)[0], "no server is left")
	broken := append(silent, Placed{Server: "b"}, Broken{}, Released{}, temporary)
	require.IsType(t, Cut{}, lastActions(rules, 9, nil, broken...)[0], "the other server broke the stream off")
	require.IsType(t, Fail{}, lastActions(rules, 9, nil, Placed{Server: "a"}, Silent{}, Released{}, temporary)[0], "the caller has nothing yet")
}
