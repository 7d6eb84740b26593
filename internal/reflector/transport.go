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
	// PathServers is the path at which a node serves poll requests.
	PathServers = "/servers"
	// PathWork is the path at which a relay serves its group's work to other relays. It is
	// separate from PathServers since the gob type description of a Delta alone is longer
	// than most group responses.
	PathWork = "/work"
	// messageFormat is the format version that requests and responses carry; 0 stands for
	// builds that send none. Within a format fields are only added: decoders skip unknown
	// fields, and the zero value of a new field means the behaviour from before it existed.
	messageFormat = 1
	// maxErrorBytes bounds the part of another node's error message that is read.
	maxErrorBytes = 256
	// MaxRequestBytes bounds a request.
	MaxRequestBytes = 64 << 10
	// maxResponseBytes bounds a response: a full list of 10,000 servers takes 0.4 MB, a
	// declaration of 31,000 tenants some 2 MB.
	maxResponseBytes = 16 << 20
	// idleTimeout bounds the time without a byte of a response, and responseTimeout the time
	// for all of it: a full list takes as long as its bytes need on the slowest link.
	idleTimeout     = pollWait + pollMargin
	responseTimeout = 10 * time.Second
)

// Handler serves other nodes' poll requests from a feed.
func Handler(f *Feed) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		poll, err := decodePollRequest(io.LimitReader(request.Body, MaxRequestBytes))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		poll.Wait = min(poll.Wait, initialPollWait)
		omitHeaders(writer)
		_ = f.Respond(request.Context(), poll).encode(writer)
	}
}

// checkFormat rejects a message whose format this build does not know.
func checkFormat(format int) error {
	if format < 0 || format > messageFormat {
		return errors.Errorf("message has format %d, and this node reads up to %d; upgrade this node to the newer build", format, messageFormat)
	}
	return nil
}

// flags holds what is rarely true of a message, in one field: gob sends the name of each field.
type flags uint

const (
	// flagZeroEra tells an era of 0 from one that is not known.
	flagZeroEra flags = 1 << iota
	// flagBeganAtZero reports that the first era of the store was 0.
	flagBeganAtZero
	// flagNoDeclaration reports that the sender of a request has no declaration.
	flagNoDeclaration
)

func flagsOf(zeroEra, beganAtZero, noDeclaration bool) (f flags) {
	if zeroEra {
		f |= flagZeroEra
	}
	if beganAtZero {
		f |= flagBeganAtZero
	}
	if noDeclaration {
		f |= flagNoDeclaration
	}
	return f
}

func (f flags) has(flag flags) bool { return f&flag != 0 }

// leavesOutEra reports whether a message has a place without an era although its build knows eras. Such a
// build does not tell an era of 0 from one that is not known.
func leavesOutEra(format int, place, era int64, f flags) bool {
	return format > 0 && place != 0 && era == 0 && !f.has(flagZeroEra)
}

// wireQuestion is the gob encoding of a PollRequest. Gob sends the names of types too, so
// those of the wire types stay as they are.
type wireQuestion struct {
	Format int
	Feed   string
	Place  int64
	// Era is the era of Place, unless Flags say that it is 0; builds without eras send neither.
	Era         int64
	Wait        time.Duration
	Loads       backend.LoadsMark
	Node        string
	Declaration int64
	Fleet       uint64
	Relay       bool
	Reader      bool
	Work        works
	// Details are those of Work; see packWork.
	Details []byte
	Quota   []byte
	Kept    residency.Place
	// Suspicions is gob-encoded on its own, and mostly nil.
	Suspicions      []byte
	SuspicionsPlace int64
	// Software is the digest of the sender's record of software versions; builds without records send 0.
	Software uint64
	Flags    flags
}

// encode writes the request to w.
func (q PollRequest) encode(w io.Writer) error {
	packed, details := packWork(q.Own.Work)
	era, zeroEra := q.Place.Era.Wire()
	wired := wireQuestion{
		Format: messageFormat,
		Feed:   q.Feed, Place: q.Place.Revision, Era: era, Wait: q.Wait, Loads: q.Loads, Node: q.Node, Declaration: q.Declaration, Fleet: q.Fleet,
		Relay: q.Relay, Reader: q.Reader, Work: packed, Details: details, Quota: q.Own.Quota.Encode(), Kept: q.Kept,
		SuspicionsPlace: q.SuspicionsPlace, Software: q.Software, Flags: flagsOf(zeroEra, q.BeganAtZero, q.NoDeclaration),
	}
	if q.Suspicions != nil {
		encoded, err := encodeNested(q.Suspicions)
		if err != nil {
			return err
		}
		wired.Suspicions = encoded
	}
	return errors.Trace(gob.NewEncoder(w).Encode(wired))
}

// decodePollRequest reads a request from r.
func decodePollRequest(r io.Reader) (PollRequest, error) {
	var w wireQuestion
	if err := gob.NewDecoder(r).Decode(&w); err != nil {
		return PollRequest{}, errors.Trace(err)
	}
	if err := checkFormat(w.Format); err != nil {
		return PollRequest{}, err
	}
	q := PollRequest{
		Feed: w.Feed, Place: coordination.Position{Era: coordination.EraFromWire(w.Era, w.Flags.has(flagZeroEra)), Revision: w.Place}, Wait: w.Wait, Loads: w.Loads, Node: w.Node, Declaration: w.Declaration, Fleet: w.Fleet,
		Relay: w.Relay, Reader: w.Reader, Kept: w.Kept, SuspicionsPlace: w.SuspicionsPlace, Software: w.Software, BeganAtZero: w.Flags.has(flagBeganAtZero), NoDeclaration: w.Flags.has(flagNoDeclaration),
		eraLeftOut: leavesOutEra(w.Format, w.Place, w.Era, w.Flags),
	}
	if w.Suspicions != nil {
		if err := gob.NewDecoder(bytes.NewReader(w.Suspicions)).Decode(&q.Suspicions); err != nil {
			return PollRequest{}, errors.Trace(err)
		}
	}
	used, err := quota.DecodeReport(w.Quota)
	q.Own = workshare.Report{Work: unpackWork(w.Work, w.Details), Quota: used}
	return q, err
}

// wireDelta is the gob encoding of a Delta. What is rarely present is encoded on its own, in
// Rest: its gob type descriptions are longer than most responses.
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
	Work         works
	// Details are those of Work; see packWork.
	Details []byte
	Quota   []byte
	Kept    []byte
	Servers []byte
	Rest    []byte
	// Missing is for how long the list may lack servers that live.
	Missing time.Duration
	Flags   flags
}

// wireServers holds the server changes of a Delta. They are present more often than the
// fields of wireRest, and so are encoded separately from these, which are longer.
type wireServers struct {
	Whole   bool
	Changed backend.Packed
	Gone    []string
}

// wireRest holds the fields of a Delta that are rarely present.
type wireRest struct {
	Loads       *backend.Loads
	Declaration *catalog.Declaration
	Fleet       *fleet.WireView
	Duties      []coordination.WireEntry

	Suspicions      []quarantine.Item
	SuspicionsPlace int64

	Software *backend.WireSoftwareRecord
}

func (r wireRest) empty() bool {
	return r.Loads == nil && r.Declaration == nil && r.Fleet == nil &&
		r.Duties == nil && r.SuspicionsPlace == 0 && r.Software == nil
}

// encode writes the delta to w.
func (d Delta) encode(w io.Writer) error {
	packed, details := packWork(d.Others.Work)
	era, zeroEra := d.Place.Era.Wire()
	wired := wireDelta{
		Format: messageFormat,
		Feed:   d.Feed, Place: d.Place.Revision, Era: era, Age: d.Age, BeliefAge: d.BeliefAge, DisturbedAgo: d.DisturbedAgo,
		Weights: d.Weights, Nodes: d.Nodes, Sum: d.Sum, Work: packed, Details: details, Quota: d.Others.Quota.Encode(), Kept: d.Kept, Missing: d.EntriesMissingFor, Flags: flagsOf(zeroEra, d.BeganAtZero, false),
	}
	if d.Whole || len(d.Changed)+len(d.Gone) > 0 {
		encoded, err := encodeNested(wireServers{Whole: d.Whole, Changed: backend.Pack(d.Changed), Gone: d.Gone})
		if err != nil {
			return err
		}
		wired.Servers = encoded
	}
	rest := wireRest{
		Loads:       d.Loads,
		Declaration: d.Declaration, Duties: coordination.WireEntries(d.Duties),
		Suspicions: d.Suspicions, SuspicionsPlace: d.SuspicionsPlace, Software: d.Software.Wire(),
	}
	if d.Fleet != nil {
		view := d.Fleet.Wire()
		rest.Fleet = &view
	}
	if !rest.empty() {
		encoded, err := encodeNested(rest)
		if err != nil {
			return err
		}
		wired.Rest = encoded
	}
	return errors.Trace(gob.NewEncoder(w).Encode(wired))
}

// delta returns the decoded Delta.
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
	delta := Delta{
		Feed: w.Feed, Place: coordination.Position{Era: coordination.EraFromWire(w.Era, w.Flags.has(flagZeroEra)), Revision: w.Place}, Age: w.Age, BeliefAge: w.BeliefAge, DisturbedAgo: w.DisturbedAgo,
		Weights: w.Weights, Nodes: w.Nodes, Sum: w.Sum, Others: workshare.Report{Work: unpackWork(w.Work, w.Details), Quota: used}, Kept: w.Kept,
		EntriesMissingFor: w.Missing, Whole: servers.Whole, Changed: changed, Gone: servers.Gone, Loads: rest.Loads,
		Declaration: rest.Declaration, Duties: coordination.EntriesFromWire(rest.Duties),
		Suspicions: rest.Suspicions, SuspicionsPlace: rest.SuspicionsPlace, Software: rest.Software.Record(),
		BeganAtZero: w.Flags.has(flagBeganAtZero), eraLeftOut: leavesOutEra(w.Format, w.Place, w.Era, w.Flags),
	}
	if rest.Fleet != nil {
		view := rest.Fleet.View()
		delta.Fleet = &view
	}
	return delta, nil
}

// encodeNested returns the gob encoding of a part of a message.
func encodeNested(part any) ([]byte, error) {
	encoded := bytes.Buffer{}
	err := gob.NewEncoder(&encoded).Encode(part)
	return encoded.Bytes(), errors.Trace(err)
}

// omitHeaders suppresses the default response headers, which no node reads: they would be
// longer than most responses.
func omitHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

// Group is a relay's response to another relay: the report of its group, the state of the
// weight rollout if that has changed, and the changes of the caches that it watches itself.
type Group struct {
	Report workshare.Report
	Loads  *backend.Loads
	Kept   []byte
}

// wireGroup is the gob encoding of a Group. Loads are encoded on their own, since their gob
// type descriptions are longer than most groups and rarely needed.
type wireGroup struct {
	Work works
	// Details are those of Work; see packWork.
	Details []byte
	Quota   []byte
	Loads   []byte
	Kept    []byte
}

// encode writes the group to w.
func (g Group) encode(w io.Writer) error {
	packed, details := packWork(g.Report.Work)
	wired := wireGroup{Work: packed, Details: details, Quota: g.Report.Quota.Encode(), Kept: g.Kept}
	if g.Loads != nil {
		loads, err := encodeNested(g.Loads)
		if err != nil {
			return err
		}
		wired.Loads = loads
	}
	return errors.Trace(gob.NewEncoder(w).Encode(wired))
}

// group returns the decoded Group.
func (w wireGroup) group() (Group, error) {
	used, err := quota.DecodeReport(w.Quota)
	if err != nil {
		return Group{}, err
	}
	g := Group{Report: workshare.Report{Work: unpackWork(w.Work, w.Details), Quota: used}, Kept: w.Kept}
	if w.Loads == nil {
		return g, nil
	}
	g.Loads = &backend.Loads{}
	err = gob.NewDecoder(bytes.NewReader(w.Loads)).Decode(g.Loads)
	return g, errors.Trace(err)
}

// GroupRequest tells a relay how far the sender has received its updates.
type GroupRequest struct {
	Kept  residency.Place
	Loads backend.LoadsMark
}

// groupQuery is the query string of a GroupRequest.
type groupQuery struct {
	Life     uint64 `url:"life,omitempty"`
	Next     int64  `url:"next,omitempty"`
	Fence    int64  `url:"fence,omitempty"`
	Sequence int64  `url:"sequence,omitempty"`
}

// parseGroupRequest reads a request. A parameter that cannot be parsed counts as 0, which
// requests everything.
func parseGroupRequest(r *http.Request) GroupRequest {
	life, _ := strconv.ParseUint(r.FormValue("life"), 10, 64)
	next, _ := strconv.ParseInt(r.FormValue("next"), 10, 64)
	fence, _ := strconv.ParseInt(r.FormValue("fence"), 10, 64)
	sequence, _ := strconv.ParseInt(r.FormValue("sequence"), 10, 64)
	return GroupRequest{
		Kept:  residency.Place{Life: life, Next: next},
		Loads: backend.LoadsMark{Fence: fence, Sequence: sequence},
	}
}

// WorkHandler serves this node's group to other relays.
func WorkHandler(feed *Feed) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		omitHeaders(w)
		_ = feed.Group(parseGroupRequest(r), boottime.Now()).encode(w)
	}
}

// PeerClient polls other nodes over HTTP.
type PeerClient struct {
	Client *http.Client
	// OnResponse, if set, is called with the size of each response to a call, which is named
	// by its path. It must not block.
	OnResponse func(call string, bytes int)
}

// Poll requests what has changed at a node since the request's cursors.
func (c *PeerClient) Poll(ctx context.Context, address string, poll PollRequest) (Delta, error) {
	body := bytes.Buffer{}
	if err := poll.encode(&body); err != nil {
		return Delta{}, err
	}
	request, err := sling.New().Base("http://" + address).Post(PathServers).Body(&body).Request()
	if err != nil {
		return Delta{}, errors.Trace(err)
	}
	var wired wireDelta
	if err := c.do(ctx, request, &wired); err != nil {
		return Delta{}, err
	}
	return wired.delta()
}

// Group requests the work of a relay's group, and what else has changed since the request's
// cursors.
func (c *PeerClient) Group(ctx context.Context, address string, since GroupRequest) (Group, error) {
	query := groupQuery{Life: since.Kept.Life, Next: since.Kept.Next, Fence: since.Loads.Fence, Sequence: since.Loads.Sequence}
	request, err := sling.New().Base("http://" + address).Get(PathWork).QueryStruct(query).Request()
	if err != nil {
		return Group{}, errors.Trace(err)
	}
	var wired wireGroup
	if err := c.do(ctx, request, &wired); err != nil {
		return Group{}, err
	}
	return wired.group()
}

// do sends a request and decodes the response. The empty User-Agent keeps the header from
// being sent.
func (c *PeerClient) do(ctx context.Context, request *http.Request, target any) error {
	request.Header.Set("User-Agent", "")
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	response, err := c.Client.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return errors.Errorf("node %s responded with status %d (%s); run builds that support each other's message formats", request.URL.Host, response.StatusCode, bytes.TrimSpace(reason))
	}
	body := &idleTimeoutReader{Reader: io.LimitReader(response.Body, maxResponseBytes), idleTimer: idleTimer}
	err = gob.NewDecoder(body).Decode(target)
	if c.OnResponse != nil {
		c.OnResponse(strings.TrimPrefix(request.URL.Path, "/"), body.bytes)
	}
	return errors.Trace(err)
}

// idleTimeoutReader is a response body that is cancelled when no bytes arrive for idleTimeout.
type idleTimeoutReader struct {
	io.Reader
	idleTimer *time.Timer
	bytes     int
}

// Read resets the idle timer whenever bytes arrive.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.bytes += n
		r.idleTimer.Reset(idleTimeout)
	}
	return n, err
}
