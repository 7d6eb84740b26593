package overload

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cloverrail/cloverrail/internal/quota"
)

// trafficClass is a class of streaming requests.
type trafficClass struct {
	rank             int
	perSecond        float64
	tokens           int
	answer           time.Duration
	target, deadline time.Duration
	// burstFactor is the rate during bursts, as a multiple of perSecond.
	burstFactor float64
}

// scenario is a load on a service, in virtual time.
type scenario struct {
	classes                  []trafficClass
	servers, slots, nodes    int
	tokensPerSecond          float64
	length                   time.Duration
	burstPeriod, burstLength time.Duration
	lost                     int
	lostFrom, lostUntil      time.Duration
	// deafNode is the index of a node that hears no peers, or -1, and silentFrom when the reports
	// of all nodes stop; 0 if they do not.
	deafNode   int
	silentFrom time.Duration
	// controlled is false for the present policy, which sends all requests.
	controlled bool
	seed       uint64
}

// classResult counts the requests of a class by outcome.
type classResult struct {
	arrived, onTime, late, lost        int
	refused, refusedAgain, refusedFree int
	// refusedUnseen counts refusals while servers are free by nodes that hear no peers, which
	// cannot see that a server has just become free.
	refusedUnseen int
	deferred      int
}

func (r classResult) onTimeShare() float64 { return float64(r.onTime) / float64(max(1, r.arrived)) }

type simRequest struct {
	class               int
	id                  uint64
	arrived, sentAt     time.Duration
	predicted           time.Duration
	deadline            time.Duration
	attempts, node      int
	urgency             int
	deferred, returning bool
	order               int
}

type simServer struct {
	down    bool
	waiting []*simRequest
	prefill *simRequest
	running int
	// runningOf counts the running requests of each node.
	runningOf map[int]int
	epoch     int
}

// alone reports whether a node hears no peers.
func (sim *simulation) alone(node int) bool {
	return node == sim.deafNode || sim.silentFrom > 0 && sim.now > sim.silentFrom+peerTTL
}

// known returns the tokens of requests that have not begun to answer, and the number of requests
// in flight, as a node knows them. As at real nodes, waiting deferred requests do not count,
// urgency makes no difference, and a node that hears no peers knows only its own requests.
func (sim *simulation) known(s *simServer, node int) (tokens, running int) {
	alone := sim.alone(node)
	for _, r := range s.waiting {
		if !r.deferred && (!alone || r.node == node) {
			tokens += sim.classes[r.class].tokens
			running++
		}
	}
	if r := s.prefill; r != nil && (!alone || r.node == node) {
		tokens += sim.classes[r.class].tokens
	}
	if !alone {
		return tokens, running + s.running
	}
	return tokens, running + s.runningOf[node]
}

type simEvent struct {
	at     time.Duration
	order  int
	action func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sharedPromises stands in for promises that every node recognizes.
type sharedPromises struct{ *LocalPromises }

func (sharedPromises) SetPeers(uint64, float64, float64, time.Time) {}

type simulation struct {
	scenario
	// arrivals and random are separate, so that the load does not depend on the decisions.
	arrivals []*rand.Rand
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	order    int
	servers  []*simServer
	nodes    []*Services
	results  []classResult
	changes  []int
}

var simulationStart = time.Unix(1_000_000, 0)

// simulate plays a scenario.
func simulate(s scenario) *simulation {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), results: make([]classResult, len(s.classes)), changes: make([]int, s.nodes)}
	for range s.servers {
		sim.servers = append(sim.servers, &simServer{runningOf: map[int]int{}})
	}
	promises := sharedPromises{NewLocalPromises()}
	for range s.nodes {
		node := NewServices(promises)
		node.Resize(s.nodes)
		sim.nodes = append(sim.nodes, node)
	}
	for class := range s.classes {
		sim.arrivals = append(sim.arrivals, rand.New(rand.NewPCG(s.seed, uint64(2+class))))
		sim.nextArrival(class)
	}
	sim.after(0, sim.exchangeReports)
	sim.after(s.lostFrom, func() { sim.setDown(true) })
	sim.after(s.lostUntil, func() { sim.setDown(false) })
	for len(sim.events) > 0 {
		event := heap.Pop(&sim.events).(simEvent)
		sim.now = event.at
		event.action()
	}
	return sim
}

func (sim *simulation) clock() time.Time { return simulationStart.Add(sim.now) }

func (sim *simulation) after(delay time.Duration, action func()) {
	sim.order++
	heap.Push(&sim.events, simEvent{at: sim.now + delay, order: sim.order, action: action})
}

func (sim *simulation) nextArrival(index int) {
	class := sim.classes[index]
	rate := class.perSecond
	if sim.burstPeriod > 0 && sim.now%sim.burstPeriod < sim.burstLength {
		rate *= class.burstFactor
	}
	sim.after(time.Duration(sim.arrivals[index].ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.now > sim.length {
			return
		}
		sim.nextArrival(index)
		sim.results[index].arrived++
		sim.arrive(&simRequest{class: index, id: sim.random.Uint64() | 1, arrived: sim.now, deadline: sim.now + class.deadline})
	})
}

// exchangeReports lets all nodes exchange their reports.
func (sim *simulation) exchangeReports() {
	if sim.now > sim.length || sim.silentFrom > 0 && sim.now >= sim.silentFrom {
		return
	}
	reports := make([][]quota.Usage, len(sim.nodes))
	for i, node := range sim.nodes {
		reports[i] = node.Report(sim.clock())
	}
	for i, node := range sim.nodes {
		if i == sim.deafNode {
			continue
		}
		sum := map[uint64]quota.Usage{}
		for j, report := range reports {
			for _, row := range report {
				if j != i && j != sim.deafNode {
					sum[row.Key] = sum[row.Key].Plus(row)
				}
			}
		}
		var rows []quota.Usage
		for _, row := range sum {
			rows = append(rows, row)
		}
		node.SetPeerRows(rows, sim.clock())
	}
	sim.after(250*time.Millisecond, sim.exchangeReports)
}

func (sim *simulation) setDown(down bool) {
	for _, server := range sim.servers[:sim.lost] {
		server.down = down
		if !down {
			continue
		}
		server.epoch++
		abandoned := server.waiting
		if server.prefill != nil {
			abandoned = append(abandoned, server.prefill)
		}
		server.waiting, server.prefill, server.running = nil, nil, 0
		clear(server.runningOf)
		for _, r := range abandoned {
			sim.send(r, sim.choose(r.node))
		}
	}
}

// choose returns the server with the fewest queued tokens, as a node knows them.
func (sim *simulation) choose(node int) *simServer {
	var best *simServer
	least, first := 0, sim.random.IntN(len(sim.servers))
	for i := range sim.servers {
		server := sim.servers[(first+i)%len(sim.servers)]
		if server.down {
			continue
		}
		if tokens, _ := sim.known(server, node); best == nil || tokens < least {
			best, least = server, tokens
		}
	}
	return best
}

func (sim *simulation) slotTime(class trafficClass) time.Duration {
	return sim.prefillTime(class.tokens) + class.answer
}

func (sim *simulation) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / sim.tokensPerSecond * float64(time.Second))
}

// queueTime returns the time until a server starts a new request, as a node knows it.
func (sim *simulation) queueTime(server *simServer, node int) time.Duration {
	tokens, _ := sim.known(server, node)
	return sim.prefillTime(tokens)
}

// arrive places an attempt of a caller at a random node.
func (sim *simulation) arrive(r *simRequest) {
	r.node = sim.random.IntN(len(sim.nodes))
	r.sentAt = sim.now
	r.attempts++
	class, server := sim.classes[r.class], sim.choose(r.node)
	request := sim.request(r, class, server)
	r.predicted = request.Predicted
	if sim.controlled {
		verdict := sim.nodes[r.node].Controller("s", sim.clock()).Admit(request, sim.clock())
		if verdict.Changed {
			sim.changes[r.node]++
		}
		if verdict.Refused != 0 {
			sim.refuse(r, request, verdict)
			return
		}
		r.returning, r.deferred = verdict.Returning, verdict.Deferred
	}
	sim.send(r, server)
}

func (sim *simulation) request(r *simRequest, class trafficClass, server *simServer) Request {
	queued := sim.queueTime(server, r.node)
	own := sim.prefillTime(class.tokens)
	request := Request{
		Rank: class.rank, Predicted: queued + own, Own: own, Target: class.target, FullTarget: class.target,
		Remaining: r.deadline - sim.now, Answer: class.answer, MinRetryAfter: class.target / 4,
		Tokens: float64(class.tokens), SlotTime: sim.slotTime(class), Caller: r.id, Seed: sim.random.Uint64(),
	}
	startsAtOnce := false
	for _, s := range sim.servers {
		if s.down {
			continue
		}
		tokens, running := sim.known(s, r.node)
		request.TokensPerSecond += sim.tokensPerSecond
		request.Slots += sim.slots
		request.SlotsInUse += running
		request.Waiting += max(0, running-sim.slots)
		if tokens > 0 {
			request.Waiting++
		}
		startsAtOnce = startsAtOnce || tokens == 0 && running < sim.slots
	}
	if startsAtOnce {
		request.Waiting = 0
	}
	return request
}

// free reports whether under half of the slots are really in use and some server has nothing to do.
func (sim *simulation) free() bool {
	running, slots, idle := 0, 0, false
	for _, s := range sim.servers {
		if !s.down {
			running += s.running
			slots += sim.slots
			idle = idle || s.prefill == nil && len(s.waiting) == 0
		}
	}
	return 2*running < slots && idle
}

func (sim *simulation) refuse(r *simRequest, request Request, verdict Verdict) {
	result := &sim.results[r.class]
	switch {
	case sim.free() && sim.alone(r.node):
		result.refusedUnseen++
	case sim.free():
		result.refusedFree++
	}
	if r.attempts > 1 {
		result.refusedAgain++
		result.lost++
		return
	}
	result.refused++
	if verdict.RetryAfter > request.Remaining/3 {
		result.lost++
		return
	}
	sim.after(verdict.RetryAfter, func() { sim.arrive(r) })
}

// send adds a request to the queue of a server. As at real nodes, one that is predicted to miss
// its target is deferred: it yields to all others.
func (sim *simulation) send(r *simRequest, server *simServer) {
	class := sim.classes[r.class]
	r.urgency = class.rank
	if r.deferred || !r.returning && sim.queueTime(server, r.node)+(sim.now-r.sentAt) > class.target {
		r.urgency, r.deferred = min(class.rank+8, 9), true
		sim.results[r.class].deferred++
	}
	sim.order++
	r.order = sim.order
	server.waiting = append(server.waiting, r)
	sim.startNext(server)
}

// startNext starts the most urgent waiting request if the server has room.
func (sim *simulation) startNext(server *simServer) {
	if server.prefill != nil || server.running >= sim.slots {
		return
	}
	best := -1
	for i := 0; i < len(server.waiting); i++ {
		if server.waiting[i].deadline <= sim.now {
			sim.results[server.waiting[i].class].lost++
			server.waiting = append(server.waiting[:i], server.waiting[i+1:]...)
			i--
			continue
		}
		if best < 0 || server.waiting[i].urgency < server.waiting[best].urgency ||
			server.waiting[i].urgency == server.waiting[best].urgency && server.waiting[i].order < server.waiting[best].order {
			best = i
		}
	}
	if best < 0 {
		return
	}
	r := server.waiting[best]
	server.waiting = append(server.waiting[:best], server.waiting[best+1:]...)
	server.prefill = r
	server.running++
	class, epoch := sim.classes[r.class], server.epoch
	server.runningOf[r.node]++
	sim.after(sim.prefillTime(class.tokens), func() {
		if server.epoch != epoch {
			return
		}
		server.prefill = nil
		sim.firstToken(r)
		sim.after(class.answer, func() {
			if server.epoch == epoch {
				server.running--
				server.runningOf[r.node]--
				sim.startNext(server)
			}
		})
		sim.startNext(server)
	})
}

func (sim *simulation) firstToken(r *simRequest) {
	class, result := sim.classes[r.class], &sim.results[r.class]
	switch {
	case sim.now+class.answer > r.deadline:
		result.lost++
	case sim.now-r.sentAt <= class.target:
		result.onTime++
	default:
		result.late++
	}
	if sim.controlled && !r.deferred {
		sim.nodes[r.node].Controller("s", sim.clock()).Observe(r.predicted, sim.now-r.sentAt, sim.clock())
	}
}
