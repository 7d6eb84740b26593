package command

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const explainLog = `12.3 node-b {"node":"b","id":"r1","route":"verdicts","declaration":4,"problem":"given up after 1 attempts: the server refused it: 503","outcome":"not-run","result":"backend_failed","sends":1,"runs":0,"took":2.3,"time":"2026-01-03T17:45:52.272701221Z","message":"request"}
not a line of ours
{"node":"b","id":"r1","server":"i-7","distance":0,"in_flight":2,"failures":0.25,"version":1,"prompt":1013,"held":0,"in_store":131,"queued":7,"time":"2026-01-03T17:45:52.270714829Z","message":"placed"}
{"node":"b","id":"r2","server":"i-8","time":"2026-01-03T17:45:52.271Z","message":"placed"}
{"node":"b","id":"r1","server":"i-7","event":"refused","reason":"503","suppressed_before":5,"time":"2026-01-03T17:45:52.272654768Z","message":"attempt"}
`

func TestExplainOrdersLinesOfRequest(t *testing.T) {
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(explainLog), &text, "r1"))
	require.Equal(t, `17:45:52.270 b: server i-7 was chosen: distance 0, 2 requests of this node there, failure share 0.25; weights 1, prompt of 1013 tokens, 0 held there, 131 in the store, 7 waiting before it
17:45:52.272 b: at server i-7 the server refused it: it did not run there (503)
17:45:52.272 b: route "verdicts", declaration 4: given up after 1 attempts: the server refused it: 503 (backend_failed, outcome not-run); sent 1 times, may have run 0 times, 2 ms in all
`, text.String())
}

func TestExplainShowsBothCosts(t *testing.T) {
	log := `{"node":"b","id":"r1","server":"i-7","costs":{"wait":40,"work":160},"next":"i-8","next_costs":{"replaced":480,"work":20,"wait":20},"message":"placed"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "its cost was 200 ms (work 160, wait 40), that of the next best, i-8, 520 ms (replaced 480, wait 20, work 20)")
}

func TestExplainShowsPrediction(t *testing.T) {
	log := `{"node":"b","id":"r1","server":"i-7","predicted":120.4,"target":790,"meets":true,"message":"placed"}
{"node":"b","id":"r2","server":"i-7","predicted":120.4,"target":-35,"meets":false,"message":"placed"}
{"node":"b","id":"r3","server":"i-7","message":"placed"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "the first token is predicted after 120 ms, with 790 ms left of the target, which is met")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "r2"))
	require.Contains(t, text.String(), "with -35 ms left of the target, which is missed")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "r3"))
	require.NotContains(t, text.String(), "predicted")
}

func TestExplainShowsTenantLimit(t *testing.T) {
	log := `{"node":"b","id":"r1","tenant":"t7","limit":20,"asked":50,"level":-3,"share":0.36,"nodes":79,"age":140.2,"retry_after":900,"message":"limited"}
{"node":"b","id":"r2","server":"i-7","prompt":10,"deferred":true,"message":"placed"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "beyond the limit of tenant t7: 50 a second are asked where 20 are allowed, -3 may be admitted at once, so 36 % of the requests are; known of 79 nodes 140 ms ago; to come back after 900 ms")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "r2"))
	require.Contains(t, text.String(), "it will be late there, so that others go first")
}

// The id of a rejected request leads to its fingerprint, and from there to the servers that crashed
// while running its other attempts.
func TestExplainFindsRetriesByFingerprint(t *testing.T) {
	log := `{"node":"a","id":"r1","server":"i-7","event":"broken","reason":"EOF","fingerprint":"002a","parts":["00a1","00a2"],"message":"attempt","time":"2000-01-01T00:00:01Z"}
{"node":"a","fingerprint":"002a","server":"i-7","settled":"ended","message":"suspicion","time":"2000-01-01T00:00:02Z"}
{"node":"b","fingerprint":"002a","server":"i-8","settled":"lives","message":"suspicion","time":"2000-01-01T00:00:03Z"}
{"node":"b","id":"r9","fingerprint":"002a","ended":3,"weight":2.5,"stored":false,"retry_after":600000,"message":"held off","time":"2000-01-01T00:00:04Z"}
{"node":"b","id":"r10","fingerprint":"002a","stored":true,"retry_after":600000,"message":"held off","time":"2000-01-01T00:00:05Z"}
{"node":"b","id":"r12","part":"00a1","ended":9,"weight":2,"message":"suspect sent","time":"2000-01-01T00:00:05Z"}
{"node":"b","id":"r11","fingerprint":"002a","message":"cleared","time":"2000-01-01T00:00:06Z"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r9"))
	require.Contains(t, text.String(), "held off: 3 servers have ended under it, which counts 2.5; to come back after 600000 ms; see all of its tries by its fingerprint, 002a")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "r12"))
	require.Contains(t, text.String(), "sent although 9 servers have ended under it or a part of its prompt, which counts 2.0")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "002a"))
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	require.Len(t, lines, 6)
	require.Contains(t, lines[0], "at server i-7 the attempt broke after it was sent: it may have run (EOF), request 002a, parts 00a1 00a2")
	require.Contains(t, lines[1], "server i-7 closed a connection before its whole answer and has answered nothing since")
	require.Contains(t, lines[2], "goes on to answer")
	require.Contains(t, lines[4], "the store says that servers have ended under it")
	require.Contains(t, lines[5], "clears request 002a")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "00a2"))
	require.Contains(t, text.String(), "at server i-7", "a part leads to the requests that share it")
}

// What a suspicion was settled by tells a crash from a partition of the node.
func TestExplainNamesEvidenceOfSuspicion(t *testing.T) {
	log := `{"node":"a","fingerprint":"002a","server":"i-7","settled":"ended","evidence":"unlisted","message":"suspicion","time":"2000-01-01T00:00:02Z"}
{"node":"b","fingerprint":"002a","server":"i-8","settled":"lives","evidence":"answer to other nodes","message":"suspicion","time":"2000-01-01T00:00:03Z"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "002a"))
	require.Contains(t, text.String(), "it counts against request 002a (evidence: unlisted)")
	require.Contains(t, text.String(), "that counts for nothing (evidence: answer to other nodes)")
}

// What allowed a second attempt of a request that may run once, and what a refusal as not run rests on.
func TestExplainNamesSignsThatNothingRan(t *testing.T) {
	log := `{"node":"a","id":"r1","server":"i-8","previous":"i-7","sign":"peer_stated","message":"sent again","time":"2000-01-01T00:00:01Z"}
{"node":"a","id":"r1","problem":"no server","result":"no_endpoint","outcome":"not-run","sign":"unsent","sends":2,"message":"request","time":"2000-01-01T00:00:02Z"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "sent again, to server i-8, though it may run only once: it did not run at server i-7, as another node reports that the server stated that it did not run it")
	require.Contains(t, text.String(), "outcome not-run); it did not run, as no byte of it was sent")
}

func TestExplainWithoutMatchingLines(t *testing.T) {
	err := explain(strings.NewReader(explainLog), &strings.Builder{}, "r9")
	require.ErrorContains(t, err, "5 that the nodes suppressed")
	err = explain(strings.NewReader(""), &strings.Builder{}, "r9")
	require.ErrorContains(t, err, "all nodes")
}

func TestExplainShowsPlacementRounds(t *testing.T) {
	log := `{"node":"b","id":"r1","server":"i-7","looks":3,"last_resort":true,"message":"placed"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "chosen at look 3, as others were placed first where it was to be")
	require.Contains(t, text.String(), "all servers that were left had failed, so that it probes this one")
}

func TestExplainShowsServerLimits(t *testing.T) {
	log := `{"node":"b","id":"r1","service":"s","servers":3,"shortest":420.5,"retry_after":900,"message":"over the limits of servers"}
{"node":"b","id":"r2","server":"i-7","passed_over":2,"message":"placed"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "the 3 servers of s that are left take no more of this node by the limits that they name, the first of them in 420 ms; to come back after 900 ms")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "r2"))
	require.Contains(t, text.String(), "2 servers were passed over for the limits that they name")
}

func TestExplainShowsMemoryRefusal(t *testing.T) {
	log := `{"node":"b","id":"r1","wanted_bytes":68000,"held_bytes":45990000,"limit_bytes":46000000,"retry_after":250,"message":"memory budget exceeded"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "refused, not run: the node held 45990000 of the 46000000 bytes that it may hold for requests, and this one needed 68000 more; to come back after 250 ms")
}

func TestExplainShowsOverload(t *testing.T) {
	log := `{"node":"b","id":"r1","service":"s","rank":2,"predicted":2400,"target":1900,"state":"pressure","refused":"target","promised":true,"retry_after":700,"message":"overload"}
{"node":"b","id":"r2","service":"s","rank":0,"predicted":9000,"target":800,"state":"pressure","refused":"deadline","promised":false,"retry_after":3500,"message":"overload"}
{"node":"b","id":"r3","service":"s","rank":0,"predicted":200,"target":800,"state":"normal","changed":true,"message":"overload"}`
	for id, expected := range map[string]string{
		"r1": "service s is in state pressure: first token predicted after 2400 ms, 1900 ms left of the target, urgency rank 2; refused, as it would be late now and can be on time later; to come back after 700 ms, when it will not be refused for load again",
		"r2": "refused, as its first token would come after its deadline; there is room after 3500 ms, which is longer than the caller waits",
		"r3": "service s is in state normal: first token predicted after 200 ms, 800 ms left of the target, urgency rank 0; the state is new, and the request is sent",
	} {
		text := strings.Builder{}
		require.NoError(t, explain(strings.NewReader(log), &text, id))
		require.Contains(t, text.String(), expected)
	}
}

func TestExplainShowsForwardedAttempts(t *testing.T) {
	log := `{"node":"a","id":"r1","server":"i-7","detour":true,"no_room":2,"message":"placed"}
{"node":"a","id":"r1","server":"i-7","through":"b","offered":1,"result":"unavailable","reason":"stopping","message":"forwarded"}
{"node":"c","id":"r1","server":"i-7","for":"a","result":"answered","message":"forwarded for another node"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "2 brittle servers were passed over that may have no room")
	require.Contains(t, text.String(), "this node cannot connect to it, so that another one is asked to")
	require.Contains(t, text.String(), "the attempt at server i-7 was offered to node b, the 1. that was asked: unavailable (stopping)")
	require.Contains(t, text.String(), "node a offered the attempt at server i-7 to this node: answered")
}

func TestExplainShowsStreamOrigin(t *testing.T) {
	log := `{"node":"a","id":"r1","server":"i-7","software":"v1","record":"held","message":"stream began"}
{"node":"b","id":"r2","resumes":"r1","source":"found","service":"s","software":"v1","message":"stream resumed"}
{"node":"b","id":"r3","resumes":"x","source":"unknown","message":"stream resumed"}
{"node":"b","id":"r4","server":"i-8","replaced":true,"message":"stream given up, as the software version of its server is not certain"}`
	for id, want := range map[string]string{
		"r1": `server i-7 of software version "v1" wrote the first event: another node has that record`,
		"r2": `the caller resumes the stream that try "r1" began, at software version "v1" of service s, by another node's record`,
		"r3": `the caller resumes the stream that try "x" began: which software version that was is not known`,
		"r4": `gave up the stream of server i-8, which may have started again with another software version`,
	} {
		text := strings.Builder{}
		require.NoError(t, explain(strings.NewReader(log), &text, id))
		require.Contains(t, text.String(), want)
	}
}
