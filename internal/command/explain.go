package command

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// logLine holds the fields of a proxy's log line that explain reads.
type logLine struct {
	ID           string    `json:"id"`
	Time         time.Time `json:"time"`
	Node         string    `json:"node"`
	Message      string    `json:"message"`
	Server       string    `json:"server"`
	Event        string    `json:"event"`
	Reason       string    `json:"reason"`
	Route        string    `json:"route"`
	Declaration  int64     `json:"declaration"`
	Result       string    `json:"result"`
	Outcome      string    `json:"outcome"`
	Problem      string    `json:"problem"`
	Status       int       `json:"status"`
	Sends        int       `json:"sends"`
	Runs         int       `json:"runs"`
	First        float64   `json:"first"`
	Took         float64   `json:"took"`
	InFlight     int       `json:"in_flight"`
	Failures     float64   `json:"failures"`
	Distance     int       `json:"distance"`
	Version      int64     `json:"version"`
	Prompt       int       `json:"prompt"`
	CachedTokens int       `json:"held"`
	InStore      int       `json:"in_store"`
	Queued       int       `json:"queued"`
	Suppressed   int       `json:"suppressed_before"`
	// Through is the node through which an attempt was sent, Offered how many were asked, and For the node
	// for which it was sent. Detour says that the node cannot connect to the chosen server, and NoRoom
	// is the number of brittle servers that were skipped.
	Through string `json:"through"`
	Offered int    `json:"offered"`
	For     string `json:"for"`
	Detour  bool   `json:"detour"`
	NoRoom  int    `json:"no_room"`
	// Software is the version of a server's software, Record says who has the record of what began a
	// stream, Source how the origin of a resumed one was determined, and Resumes which try began it.
	Software string `json:"software"`
	Record   string `json:"record"`
	Source   string `json:"source"`
	Resumes  string `json:"resumes"`
	// Costs and NextCosts hold the cost terms of the chosen server and of Next, the second
	// cheapest, in milliseconds of engine time.
	Costs     map[string]int64 `json:"costs"`
	Next      string           `json:"next"`
	NextCosts map[string]int64 `json:"next_costs"`
	// Deferred says that the request will be late and yields to others.
	Deferred bool `json:"deferred"`
	// Predicted is the predicted time to the first token, and Target what is left of the target, in
	// milliseconds; nil if there is no prediction. Meets says whether the target is predicted to be
	// met.
	Predicted *float64 `json:"predicted"`
	Target    float64  `json:"target"`
	Meets     bool     `json:"meets"`
	// Fingerprint is the same for all retries of a request. It is set if a server may have crashed
	// while running the request.
	Fingerprint string `json:"fingerprint"`
	// Parts holds the fingerprints of the shared parts of the prompt, which are the same for all requests of a tenant
	// that share them.
	Parts []string `json:"parts"`
	// Part is the fingerprint of the part that a decision is about.
	Part string `json:"part"`
	// Settled says whether a suspected server had crashed.
	Settled string `json:"settled"`
	// Evidence is what shows that.
	Evidence string `json:"evidence"`
	// Crashes, Weight and Stored describe the rejection of a quarantined request: the number of servers
	// that crashed while running it, their total weight, and whether the quarantine comes from the store.
	Crashes int     `json:"ended"`
	Weight  float64 `json:"weight"`
	Stored  bool    `json:"stored"`
	Trial   bool    `json:"trial"`
	// Tenant, Limit and Requested, and Level, AdmitRatio, Nodes and Age below, describe a rejection
	// because of a tenant's limit.
	Tenant    string  `json:"tenant"`
	Limit     float64 `json:"limit"`
	Requested float64 `json:"asked"`
	// Service, Servers and Shortest describe a rejection because of servers' rate limits. OverLimit is
	// the number of servers that a placement skipped because of them.
	Service   string  `json:"service"`
	Servers   int     `json:"servers"`
	Shortest  float64 `json:"shortest"`
	OverLimit int     `json:"passed_over"`
	// Rounds is the number of placement rounds; LastResort says that all remaining servers had failed.
	Rounds     int     `json:"looks"`
	LastResort bool    `json:"last_resort"`
	Level      float64 `json:"level"`
	AdmitRatio float64 `json:"share"`
	Nodes      int     `json:"nodes"`
	Age        float64 `json:"age"`
	RetryAfter float64 `json:"retry_after"`
	// End is what is known of the end of an attempt whose caller has left.
	End string `json:"end"`
	// Waited is how long a request waited for the end of an attempt at its server, in milliseconds.
	Waited float64 `json:"waited"`
	// Silent is how long a kept attempt had been silent, in milliseconds.
	Silent float64 `json:"silent"`
	// Resident is the number of tokens that requests held at the chosen server, and Memory its capacity.
	// Full is the number of nodes that it refused.
	Resident int `json:"resident"`
	Memory   int `json:"memory"`
	Full     int `json:"full"`
	// WantedBytes, HeldBytes and LimitBytes describe a rejection because of the node's memory.
	WantedBytes int64 `json:"wanted_bytes"`
	HeldBytes   int64 `json:"held_bytes"`
	LimitBytes  int64 `json:"limit_bytes"`
	// Rank, State, Refused and Promised describe a decision of overload control, beside Predicted and
	// Target: the urgency rank, the state of the service, why the request was refused, and whether the
	// caller can return at the given time.
	Rank     int    `json:"rank"`
	State    string `json:"state"`
	Refused  string `json:"refused"`
	Promised bool   `json:"promised"`
	// Sign is what showed that the last attempt did not run, and Previous its server.
	Sign     string `json:"sign"`
	Previous string `json:"previous"`
}

// signTexts maps the signs that an attempt did not run to their explanations.
var signTexts = map[string]string{
	"stated":         "the server stated that it did not run it",
	"unsent":         "no byte of it was sent",
	"withdrawn":      "this node decided not to send it",
	"peer_stated":    "another node reports that the server stated that it did not run it",
	"peer_unsent":    "the nodes that it was offered to sent no byte of it",
	"peer_withdrawn": "another node decided not to send it",
}

// signText explains a sign that an attempt did not run.
func signText(sign string) string { return cmp.Or(signTexts[sign], sign) }

// eventTexts maps the events of attempts to their explanations.
var eventTexts = map[string]string{
	"refused":    "the server refused it: it did not run there",
	"unreached":  "no connection to the server came up: nothing was sent",
	"broken":     "the attempt broke after it was sent: it may have run",
	"silent":     "nothing was heard of the attempt for too long",
	"answered":   "the server answered with a failure of its own",
	"late":       "it had not begun when the server's old weights had to stop serving",
	"expired":    "the request's time was over",
	"callerleft": "the caller left",
	"stopping":   "the node stopped",
}

var leftTexts = map[string]string{
	"ended":   "it has ended it",
	"reset":   "it sent on, its connection was reset, and it had time to notice",
	"unknown": "nothing more is known",
}

var earlierTexts = map[string]string{
	"running":  "no other one gets the stream",
	"released": "that one gets it if it can",
}

// releaseTexts maps the reasons of releases to their explanations.
var releaseTexts = map[string]string{
	"ended":       "the server had ended it",
	"replaced":    "the server had started again",
	"unreachable": "this node alone could not connect to the server",
	"responsive":  "the server answered others, and the connection hung or was reset",
	"overdue":     "the caller could wait no longer, and the server may still have worked on it",
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "say what became of one request of a proxy",
		ArgsUsage: "ID < LOG",
		Description: `Reads the logs of all nodes from the standard input, puts the lines of one
request in order, and says what they mean. A fingerprint in place of the id shows
what is known of all tries of a request, or of all requests with a part of a
prompt, under which servers ended.

Example:
  cat node-*.log | cloverrail explain 9c41d07be2a35f68`,
		Action: func(_ context.Context, command *cli.Command) error {
			id := command.Args().First()
			if id == "" {
				return failure.New(failure.KindInvalidRequest, "missing request ID", "pass the request's ID as the argument")
			}
			return explain(os.Stdin, writer(command), id)
		},
	}
}

// explain writes an explanation of each log line of a request.
func explain(log io.Reader, target io.Writer, id string) error {
	lines, suppressed, err := readLines(log, id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		remedy := "pass the logs of all nodes"
		if suppressed > 0 {
			remedy = fmt.Sprintf("its lines may be among the %d that the nodes suppressed", suppressed)
		}
		return failure.New(failure.KindNotFound, "no log line of the request found", remedy)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(target, "%s %s: %s\n", line.Time.Format("15:04:05.000"), line.Node, line.text()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// readLines returns the lines of a request, named by its id or fingerprint, or of a part, in order of time, and
// the number of suppressed lines that the log reports.
func readLines(log io.Reader, id string) (lines []logLine, suppressed int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Log collectors may prefix lines.
		start := strings.IndexByte(text, '{')
		var line logLine
		if start < 0 || json.Unmarshal([]byte(text[start:]), &line) != nil {
			continue
		}
		suppressed += line.Suppressed
		if line.ID == id || line.Fingerprint == id || slices.Contains(line.Parts, id) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(first, second logLine) int { return first.Time.Compare(second.Time) })
	return lines, suppressed, errors.Annotate(scanner.Err(), "cannot read the log; pass it as the nodes wrote it")
}

func (line logLine) text() string {
	switch line.Message {
	case "placed":
		return line.placementText()
	case "attempt":
		meaning := eventTexts[line.Event]
		if meaning == "" {
			meaning = line.Event
		}
		if line.Reason != "" {
			meaning += " (" + line.Reason + ")"
		}
		if line.Fingerprint != "" {
			meaning += ", request " + line.Fingerprint
		}
		if len(line.Parts) > 0 {
			meaning += ", parts " + strings.Join(line.Parts, " ")
		}
		return fmt.Sprintf("at server %s %s", line.Server, meaning)
	case "forwarded", "forwarded for another node":
		return line.forwardedText()
	case "stream given up, as the software version of its server is not certain":
		return "gave up the stream of server " + line.Server + ", which may have started again with another software version"
	case "stream began":
		return line.streamBeganText()
	case "stream resumed":
		return line.streamResumedText()
	case "kept":
		return fmt.Sprintf("server %s was silent for %.0f ms but answers other nodes: the attempt goes on", line.Server, line.Silent)
	case "released":
		return fmt.Sprintf("it could go on elsewhere %.0f ms after it was given up at server %s: %s", line.Waited, line.Server, releaseTexts[line.Reason])
	case "attempt left":
		return fmt.Sprintf("its caller had left, and server %s did not end the attempt at once: %s, after %.0f ms", line.Server, leftTexts[line.End], line.Waited)
	case "earlier attempt":
		return fmt.Sprintf("server %s may work on an earlier attempt of the stream: %s", line.Server, earlierTexts[line.State])
	case "waits":
		return line.waitText()
	case "waited":
		return fmt.Sprintf("no longer waits for a %s, after %.0f ms", line.For, line.Waited)
	case "limited":
		return line.tenantLimitText()
	case "over the limits of servers":
		return line.serverLimitsText()
	case "overload":
		return line.overloadText()
	case "held off":
		return line.quarantineText()
	case "memory budget exceeded":
		return line.memoryText()
	case "sent again":
		return fmt.Sprintf("sent again, to server %s, though it may run only once: it did not run at server %s, as %s", line.Server, line.Previous, signText(line.Sign))
	case "suspect sent":
		return line.suspectText()
	case "on probation":
		return line.probationText()
	case "cleared":
		return fmt.Sprintf("a whole answer, which clears request %s", line.Fingerprint)
	case "suspicion":
		return line.suspicionText()
	case "request":
		return line.outcomeText()
	default:
		return line.Message
	}
}

func (line logLine) waitText() string {
	text := "its stream waits for a " + line.For
	if line.Reason != "" {
		text += ": " + line.Reason
	}
	return text
}

func (line logLine) placementText() string {
	text := fmt.Sprintf("server %s was chosen: distance %d, %d requests of this node there, failure share %.2f",
		line.Server, line.Distance, line.InFlight, line.Failures)
	if line.Prompt > 0 {
		text += fmt.Sprintf("; weights %d, prompt of %d tokens, %d held there, %d in the store, %d waiting before it",
			line.Version, line.Prompt, line.CachedTokens, line.InStore, line.Queued)
	}
	if line.Predicted != nil {
		text += "; " + line.predictionText()
	}
	text += line.occupancyText()
	if line.Deferred {
		text += "; it will be late there, so that others go first"
	}
	if line.OverLimit > 0 {
		text += fmt.Sprintf("; %d servers were passed over for the limits that they name", line.OverLimit)
	}
	if line.NoRoom > 0 {
		text += fmt.Sprintf("; %d brittle servers were passed over that may have no room", line.NoRoom)
	}
	if line.Detour {
		text += "; this node cannot connect to it, so that another one is asked to"
	}
	if line.Rounds > 1 {
		text += fmt.Sprintf("; chosen at look %d, as others were placed first where it was to be", line.Rounds)
	}
	if line.LastResort {
		text += "; all servers that were left had failed, so that it probes this one"
	}
	if len(line.Costs) > 0 {
		text += "; its cost was " + costText(line.Costs)
	}
	if line.Next != "" {
		text += fmt.Sprintf(", that of the next best, %s, %s", line.Next, costText(line.NextCosts))
	}
	return text
}

// forwardedText says through which node an attempt was sent, or for which one, and what came of it.
func (line logLine) forwardedText() string {
	text := fmt.Sprintf("the attempt at server %s was offered to node %s, the %d. that was asked", line.Server, line.Through, line.Offered)
	if line.For != "" {
		text = fmt.Sprintf("node %s offered the attempt at server %s to this node", line.For, line.Server)
	}
	text += ": " + line.Result
	if line.Reason != "" {
		text += " (" + line.Reason + ")"
	}
	return text
}

// recordTexts and sourceTexts map the values of the fields record and source to their explanations.
var (
	recordTexts = map[string]string{
		"held":  "another node has that record",
		"local": "no other node had that record in time: the stream may be lost with this one",
	}
	sourceTexts = map[string]string{
		"recorded":     "by this node's record",
		"found":        "by another node's record",
		"only_version": "as the service had only one",
		"moved":        "but the route no longer leads to that service",
	}
)

func (line logLine) streamBeganText() string {
	return fmt.Sprintf("server %s of software version %q wrote the first event: %s", line.Server, line.Software, recordTexts[line.Record])
}

func (line logLine) streamResumedText() string {
	text := fmt.Sprintf("the caller resumes the stream that try %q began", line.Resumes)
	if line.Source == "unknown" {
		return text + ": which software version that was is not known"
	}
	return text + fmt.Sprintf(", at software version %q of service %s, %s", line.Software, line.Service, sourceTexts[line.Source])
}

func (line logLine) predictionText() string {
	verdict := "is missed"
	if line.Meets {
		verdict = "is met"
	}
	return fmt.Sprintf("the first token is predicted after %.0f ms, with %.0f ms left of the target, which %s", line.predicted(), line.Target, verdict)
}

// occupancyText says what was known of the occupancy of the chosen server.
func (line logLine) occupancyText() string {
	text := ""
	if line.Memory > 0 {
		text += fmt.Sprintf("; requests held %d of the %d tokens of its memory", line.Resident, line.Memory)
	}
	if line.Full > 0 {
		text += fmt.Sprintf("; it had just refused %d other nodes, as all servers had", line.Full)
	}
	return text
}

func (line logLine) tenantLimitText() string {
	return fmt.Sprintf("beyond the limit of tenant %s: %.0f a second are asked where %.0f are allowed, %.0f may be admitted at once, so %.0f %% of the requests are; known of %d nodes %.0f ms ago; to come back after %.0f ms",
		line.Tenant, line.Requested, line.Limit, line.Level, 100*line.AdmitRatio, line.Nodes, line.Age, line.RetryAfter)
}

func (line logLine) serverLimitsText() string {
	return fmt.Sprintf("the %d servers of %s that are left take no more of this node by the limits that they name, the first of them in %.0f ms; to come back after %.0f ms",
		line.Servers, line.Service, line.Shortest, line.RetryAfter)
}

func (line logLine) memoryText() string {
	return fmt.Sprintf("refused, not run: the node held %d of the %d bytes that it may hold for requests, and this one needed %d more; to come back after %.0f ms",
		line.HeldBytes, line.LimitBytes, line.WantedBytes, line.RetryAfter)
}

// overloadReasons maps the reasons of refusals for overload to their explanations.
var overloadReasons = map[string]string{
	"deadline": "its first token would come after its deadline",
	"target":   "it would be late now and can be on time later",
	"reserved": "the capacity is needed for more urgent requests, and it can be on time later",
}

// predicted returns the predicted time to the first token in milliseconds, or 0 if there is none.
func (line logLine) predicted() float64 {
	if line.Predicted == nil {
		return 0
	}
	return *line.Predicted
}

func (line logLine) overloadText() string {
	text := fmt.Sprintf("service %s is in state %s: first token predicted after %.0f ms, %.0f ms left of the target, urgency rank %d",
		line.Service, line.State, line.predicted(), line.Target, line.Rank)
	if line.Refused == "" {
		return text + "; the state is new, and the request is sent"
	}
	text += "; refused, as " + overloadReasons[line.Refused]
	if line.Promised {
		return text + fmt.Sprintf("; to come back after %.0f ms, when it will not be refused for load again", line.RetryAfter)
	}
	return text + fmt.Sprintf("; there is room after %.0f ms, which is longer than the caller waits", line.RetryAfter)
}

func (line logLine) quarantineText() string {
	known := fmt.Sprintf("%d servers have ended under it, which counts %.1f", line.Crashes, line.Weight)
	if line.Stored {
		known = "the store says that servers have ended under it"
	}
	return fmt.Sprintf("held off: %s; to come back after %.0f ms; see all of its tries by its fingerprint, %s", known, line.RetryAfter, line.Fingerprint)
}

func (line logLine) suspectText() string {
	text := fmt.Sprintf("sent although %d servers have ended under it or a part of its prompt, which counts %.1f", line.Crashes, line.Weight)
	if line.Trial {
		text += "; it tries the part for the whole fleet"
	}
	return text
}

func (line logLine) probationText() string {
	part := fmt.Sprintf("part %s of its prompt is on probation, as %d servers have ended under it", line.Part, line.Crashes)
	if line.Result == "waits" {
		return part + ": it waits until no other request with the part is being tried"
	}
	return part + ": it is the one that is tried"
}

func (line logLine) suspicionText() string {
	text := fmt.Sprintf("server %s closed a connection before its whole answer and goes on to answer: that counts for nothing", line.Server)
	if line.Settled == "ended" {
		text = fmt.Sprintf("server %s closed a connection before its whole answer and has answered nothing since: it counts against request %s", line.Server, line.Fingerprint)
	}
	if line.Evidence != "" {
		text += fmt.Sprintf(" (evidence: %s)", line.Evidence)
	}
	return text
}

// costText formats a cost and its terms, the largest first.
func costText(costs map[string]int64) string {
	sum := int64(0)
	names := slices.Sorted(maps.Keys(costs))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(costs[b], costs[a]) })
	terms := make([]string, 0, len(names))
	for _, name := range names {
		sum += costs[name]
		terms = append(terms, fmt.Sprintf("%s %d", name, costs[name]))
	}
	return fmt.Sprintf("%d ms (%s)", sum, strings.Join(terms, ", "))
}

func (line logLine) outcomeText() string {
	text := fmt.Sprintf("route %q, declaration %d: ", line.Route, line.Declaration)
	if line.Problem == "" {
		text += fmt.Sprintf("answered with the server's %d, first after %.0f ms", line.Status, line.First)
	} else {
		text += fmt.Sprintf("%s (%s, outcome %s)", line.Problem, line.Result, line.Outcome)
		if line.Sign != "" {
			text += "; it did not run, as " + signText(line.Sign)
		}
	}
	return text + fmt.Sprintf("; sent %d times, may have run %d times, %.0f ms in all", line.Sends, line.Runs, line.Took)
}
