package reflector

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

const (
	// PathServers is where a node answers questions for its feed.
	PathServers = "/servers"
	// PathWork is where a relay tells other relays of its group's work. It is apart
	// from PathServers since the description of a Delta alone is longer than most work.
	PathWork = "/work"
	// messageFormat is that of questions and answers, which name it; 0 stands for builds that
	// name none. Within a format fields are only added: who does not know one passes it over,
	// and 0 or nothing in a new one means what was so before there was one.
	messageFormat = 1
	// mostRefusal bounds what is read of why another node refused, in bytes.
	mostRefusal = 256
	// maximumQuestion bounds a question in bytes.
	maximumQuestion = 64 << 10
	// maximumAnswer bounds an answer in bytes: a whole list of 10,000 servers takes 0.4 MB,
	// a declaration of 31,000 tenants some 2 MB.
	maximumAnswer = 16 << 20
	// silence is the longest time without a byte of an answer, and longestAnswer the longest
	// time for all of it: a whole list takes as long as its bytes do on the slowest link.
	silence       = askWait + askMargin
	longestAnswer = 10 * time.Second
)

// Handler answers other nodes' questions for a feed.
func Handler(f *Feed) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		question, err := decodeQuestion(io.LimitReader(request.Body, maximumQuestion))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		question.Wait = min(question.Wait, newcomerWait)
		plainHeader(writer)
		_ = f.Answer(request.Context(), question).encode(writer)
	}
}

// checkFormat refuses a message whole that this build cannot understand.
func checkFormat(told int) error {
	if told < 0 || told > messageFormat {
		return errors.Errorf("the message has format %d, and this node reads up to %d; replace this node by one of the newer build", told, messageFormat)
	}
	return nil
}

// wireQuestion is a Question on the wire.
type wireQuestion struct {
	Format int
	Feed   string
	Place  int64
	// Era is that of Place; 0 comes from builds that know none.
	Era         int64
	Wait        time.Duration
	Loads       backend.LoadsMark
	Node        string
	Declaration int64
	Fleet       uint64
	Relay       bool
	Reader      bool
	Work        []backend.Work
	Quota       []byte
	Kept        residency.Place
	// Suspicions is encoded apart, and nil mostly.
	Suspicions      []byte
	SuspicionsPlace int64
}

// encode writes a question.
func (q Question) encode(w io.Writer) error {
	wired := wireQuestion{
		Format: messageFormat,
		Feed:   q.Feed, Place: q.Place.Revision, Era: q.Place.Era, Wait: q.Wait, Loads: q.Loads, Node: q.Node, Declaration: q.Declaration, Fleet: q.Fleet,
		Relay: q.Relay, Reader: q.Reader, Work: q.Own.Work, Quota: q.Own.Quota.Encode(), Kept: q.Kept,
		SuspicionsPlace: q.SuspicionsPlace,
	}
	if q.Suspicions != nil {
		encoded, err := encodeApart(q.Suspicions)
		if err != nil {
			return err
		}
		wired.Suspicions = encoded
	}
	return errors.Trace(gob.NewEncoder(w).Encode(wired))
}

// decodeQuestion reads a question.
func decodeQuestion(r io.Reader) (Question, error) {
	var w wireQuestion
	if err := gob.NewDecoder(r).Decode(&w); err != nil {
		return Question{}, errors.Trace(err)
	}
	if err := checkFormat(w.Format); err != nil {
		return Question{}, err
	}
	q := Question{
		Feed: w.Feed, Place: coordination.Position{Era: w.Era, Revision: w.Place}, Wait: w.Wait, Loads: w.Loads, Node: w.Node, Declaration: w.Declaration, Fleet: w.Fleet,
		Relay: w.Relay, Reader: w.Reader, Kept: w.Kept, SuspicionsPlace: w.SuspicionsPlace,
	}
	if w.Suspicions != nil {
		if err := gob.NewDecoder(bytes.NewReader(w.Suspicions)).Decode(&q.Suspicions); err != nil {
			return Question{}, errors.Trace(err)
		}
	}
	used, err := quota.DecodeReport(w.Quota)
	q.Own = workshare.Report{Work: w.Work, Quota: used}
	return q, err
}

// wireDelta is a Delta on the wire. What is needed only now and then is encoded apart, in
// Rest: the description of its types is longer than most answers.
type wireDelta struct {
	Format       int
	Feed         string
	Place        int64
	Era          int64
	Age          time.Duration
	BeliefAge    time.Duration
	DisturbedAgo time.Duration
	Weights      map[string]int64
	Nodes        int
	Sum          uint64
	Work         []backend.Work
	Quota        []byte
	Kept         []byte
	Servers      []byte
	Rest         []byte
}

// wireServers is what a Delta tells of servers. It comes and goes often, and is encoded
// apart from what is longer.
type wireServers struct {
	Whole   bool
	Changed backend.Packed
	Gone    []string
}

// wireRest is the rest of a Delta.
type wireRest struct {
	Loads       *backend.Loads
	Declaration *catalog.Declaration
	Fleet       *fleet.View
	Duties      []coordination.Entry

	Suspicions      []quarantine.Item
	SuspicionsPlace int64
}

func (r wireRest) empty() bool {
	return r.Loads == nil && r.Declaration == nil && r.Fleet == nil &&
		r.Duties == nil && r.SuspicionsPlace == 0
}

// encode writes a delta.
func (d Delta) encode(w io.Writer) error {
	wired := wireDelta{
		Format: messageFormat,
		Feed:   d.Feed, Place: d.Place.Revision, Era: d.Place.Era, Age: d.Age, BeliefAge: d.BeliefAge, DisturbedAgo: d.DisturbedAgo,
		Weights: d.Weights, Nodes: d.Nodes, Sum: d.Sum, Work: d.Others.Work, Quota: d.Others.Quota.Encode(), Kept: d.Kept,
	}
	if d.Whole || len(d.Changed)+len(d.Gone) > 0 {
		encoded, err := encodeApart(wireServers{Whole: d.Whole, Changed: backend.Pack(d.Changed), Gone: d.Gone})
		if err != nil {
			return err
		}
		wired.Servers = encoded
	}
	rest := wireRest{
		Loads:       d.Loads,
		Declaration: d.Declaration, Fleet: d.Fleet, Duties: d.Duties,
		Suspicions: d.Suspicions, SuspicionsPlace: d.SuspicionsPlace,
	}
	if !rest.empty() {
		encoded, err := encodeApart(rest)
		if err != nil {
			return err
		}
		wired.Rest = encoded
	}
	return errors.Trace(gob.NewEncoder(w).Encode(wired))
}

// delta reads a delta.
func (w wireDelta) delta() (Delta, error) {
	if err := checkFormat(w.Format); err != nil {
		return Delta{}, err
	}
	var rest wireRest
	if w.Rest != nil {
		if err := gob.NewDecoder(bytes.NewReader(w.Rest)).Decode(&rest); err != nil {
			return Delta{}, errors.Trace(err)
		}
	}
	var servers wireServers
	if w.Servers != nil {
		if err := gob.NewDecoder(bytes.NewReader(w.Servers)).Decode(&servers); err != nil {
			return Delta{}, errors.Trace(err)
		}
	}
	changed, err := servers.Changed.Unpack()
	if err != nil {
		return Delta{}, err
	}
	used, err := quota.DecodeReport(w.Quota)
	if err != nil {
		return Delta{}, err
	}
	return Delta{
		Feed: w.Feed, Place: coordination.Position{Era: w.Era, Revision: w.Place}, Age: w.Age, BeliefAge: w.BeliefAge, DisturbedAgo: w.DisturbedAgo,
		Weights: w.Weights, Nodes: w.Nodes, Sum: w.Sum, Others: workshare.Report{Work: w.Work, Quota: used}, Kept: w.Kept,
		Whole: servers.Whole, Changed: changed, Gone: servers.Gone, Loads: rest.Loads,
		Declaration: rest.Declaration, Fleet: rest.Fleet, Duties: rest.Duties,
		Suspicions: rest.Suspicions, SuspicionsPlace: rest.SuspicionsPlace,
	}, nil
}

// encodeApart returns the encoding of a part of an answer.
func encodeApart(part any) ([]byte, error) {
	encoded := bytes.Buffer{}
	err := gob.NewEncoder(&encoded).Encode(part)
	return encoded.Bytes(), errors.Trace(err)
}

// plainHeader leaves out headers that no node reads: they would be longer than most
// answers.
func plainHeader(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

// Group is what a relay tells other relays: the report of its group, how far the roll-out
// of weights is if that is news, and what it heard from holders of cached parts.
type Group struct {
	Report workshare.Report
	Loads  *backend.Loads
	Kept   []byte
}

// wireGroup is a Group on the wire. Loads are encoded apart, since the description of
// their types is longer than most groups and is needed only now and then.
type wireGroup struct {
	Work  []backend.Work
	Quota []byte
	Loads []byte
	Kept  []byte
}

// encode writes a group.
func (g Group) encode(w io.Writer) error {
	wired := wireGroup{Work: g.Report.Work, Quota: g.Report.Quota.Encode(), Kept: g.Kept}
	if g.Loads != nil {
		loads, err := encodeApart(g.Loads)
		if err != nil {
			return err
		}
		wired.Loads = loads
	}
	return errors.Trace(gob.NewEncoder(w).Encode(wired))
}

// group reads a group.
func (w wireGroup) group() (Group, error) {
	used, err := quota.DecodeReport(w.Quota)
	if err != nil {
		return Group{}, err
	}
	g := Group{Report: workshare.Report{Work: w.Work, Quota: used}, Kept: w.Kept}
	if w.Loads == nil {
		return g, nil
	}
	g.Loads = &backend.Loads{}
	err = gob.NewDecoder(bytes.NewReader(w.Loads)).Decode(g.Loads)
	return g, errors.Trace(err)
}

// GroupQuestion is how far the asker has heard another relay.
type GroupQuestion struct {
	Kept  residency.Place
	Loads backend.LoadsMark
}

// groupQuery is a GroupQuestion on the wire.
type groupQuery struct {
	Life     uint64 `url:"life,omitempty"`
	Next     int64  `url:"next,omitempty"`
	Fence    int64  `url:"fence,omitempty"`
	Sequence int64  `url:"sequence,omitempty"`
}

// groupQuestion reads a question. What cannot be read is 0: all is told.
func groupQuestion(r *http.Request) GroupQuestion {
	life, _ := strconv.ParseUint(r.FormValue("life"), 10, 64)
	next, _ := strconv.ParseInt(r.FormValue("next"), 10, 64)
	fence, _ := strconv.ParseInt(r.FormValue("fence"), 10, 64)
	sequence, _ := strconv.ParseInt(r.FormValue("sequence"), 10, 64)
	return GroupQuestion{
		Kept:  residency.Place{Life: life, Next: next},
		Loads: backend.LoadsMark{Fence: fence, Sequence: sequence},
	}
}

// WorkHandler tells other relays of this node's group.
func WorkHandler(feed *Feed) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		plainHeader(w)
		_ = feed.Group(groupQuestion(r), boottime.Now()).encode(w)
	}
}

// Caller asks other nodes over HTTP.
type Caller struct {
	Client *http.Client
	// Heard, if set, hears of the size of each answer to a call, which is named by its path.
	// It must not block.
	Heard func(call string, bytes int)
}

// Ask asks a node for what has changed in its list of servers.
func (c *Caller) Ask(ctx context.Context, address string, question Question) (Delta, error) {
	body := bytes.Buffer{}
	if err := question.encode(&body); err != nil {
		return Delta{}, err
	}
	request, err := sling.New().Base("http://" + address).Post(PathServers).Body(&body).Request()
	if err != nil {
		return Delta{}, errors.Trace(err)
	}
	var answer wireDelta
	if err := c.do(ctx, request, &answer); err != nil {
		return Delta{}, err
	}
	return answer.delta()
}

// Group asks a relay for the work of its group, and for what it heard since.
func (c *Caller) Group(ctx context.Context, address string, since GroupQuestion) (Group, error) {
	query := groupQuery{Life: since.Kept.Life, Next: since.Kept.Next, Fence: since.Loads.Fence, Sequence: since.Loads.Sequence}
	request, err := sling.New().Base("http://" + address).Get(PathWork).QueryStruct(query).Request()
	if err != nil {
		return Group{}, errors.Trace(err)
	}
	var answer wireGroup
	if err := c.do(ctx, request, &answer); err != nil {
		return Group{}, err
	}
	return answer.group()
}

// do sends a request and decodes the answer. An empty name of the client is not sent.
func (c *Caller) do(ctx context.Context, request *http.Request, answer any) error {
	request.Header.Set("User-Agent", "")
	ctx, cancel := context.WithTimeout(ctx, longestAnswer)
	defer cancel()
	quiet := time.AfterFunc(silence, cancel)
	defer quiet.Stop()
	response, err := c.Client.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(response.Body, mostRefusal))
		return errors.Errorf("node %s answered with status %d (%s); run builds that know each other's messages", request.URL.Host, response.StatusCode, bytes.TrimSpace(why))
	}
	body := &heard{Reader: io.LimitReader(response.Body, maximumAnswer), quiet: quiet}
	err = gob.NewDecoder(body).Decode(answer)
	if c.Heard != nil {
		c.Heard(strings.TrimPrefix(request.URL.Path, "/"), body.bytes)
	}
	return errors.Trace(err)
}

// heard is an answer that may take long as long as bytes of it come.
type heard struct {
	io.Reader
	quiet *time.Timer
	bytes int
}

// Read puts the end for silence off.
func (h *heard) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 {
		h.bytes += n
		h.quiet.Reset(silence)
	}
	return n, err
}
