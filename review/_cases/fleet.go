package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// host is the host of all routes, key the key of their tenant, and model the name of the engines' model.
	host  = "board.example"
	key   = "ctnfzs989anu6wsjnban"
	model = "m0"
	// heartbeat is the interval at which servers write their entries.
	heartbeat = 1200 * time.Millisecond
	// readyTimeout bounds the time until all nodes answer that they are ready.
	readyTimeout = 15 * time.Second
	// templateFile is the template of a node's settings that the deploy file names.
	templateFile = "deploy/settings.yaml"
)

// zones are the zones of the deployment.
var zones = []string{"espoo-a", "espoo-b", "vantaa-c"}

// A fleet is the nodes, the store and the servers of one case.
type fleet struct {
	program  string
	folder   string
	template string
	rec      *recorder
	store    *store
	storeAt  string

	mutex   sync.Mutex
	nodes   []*node
	servers []*server
	stopped bool
}

// nodePorts are the ports of a node at its address.
type nodePorts struct{ front, ready, peers int }

// A node is one process of the product.
type node struct {
	name, file, frontAt, readyAt string

	fleet   *fleet
	process *os.Process
	done    chan struct{}
}

func newFleet(program string, rec *recorder) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, errors.Annotate(err, "build the program first")
	}
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return nil, errors.Annotate(err, "start this at the root of the repository")
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &fleet{program: program, folder: folder, template: string(template), rec: rec, store: &store{Store: standin.NewStore(), rec: rec}, storeAt: listener.Addr().String()}
	go func() { _ = http.Serve(listener, f.store) }()
	return f, nil
}

// stop ends all processes of the case and removes its folder.
func (f *fleet) stop() {
	f.mutex.Lock()
	nodes := f.nodes
	stopped := f.stopped
	f.stopped = true
	f.mutex.Unlock()
	if stopped {
		return
	}
	for _, n := range nodes {
		n.kill()
	}
	_ = os.RemoveAll(f.folder)
}

// declare writes the configuration.
func (f *fleet) declare(document standin.Document) {
	f.store.Put(standin.KeyConfiguration, document)
	f.rec.logf("operator: configuration %d is acknowledged", document.Version)
}

// document returns the configuration of the cases.
func document() standin.Document {
	return standin.Document{
		Version: 1,
		Routes: []standin.Route{
			{Name: "verdict", Host: host, PathPrefix: "/verdict/", Kind: "streaming", Timeout: 6000, TargetLatency: 800, GapTarget: 500, Service: "oraakeli", MaxAttempts: 2, Resumable: true},
			{Name: "submit", Host: host, PathPrefix: "/submit/", Kind: "non_idempotent", Timeout: 2000, TargetLatency: 300, Service: "vuoro-api", MaxAttempts: 1},
		},
		Services: []standin.Service{
			{Name: "vuoro-api"},
			{Name: "oraakeli", Engine: &standin.Engine{Slots: 64, CapacityTokens: 110_556, TokenBytes: 163_840, LinkMegabits: 1_100_000}},
		},
		Limits:  standin.Limits{MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304},
		Tenants: []standin.Tenant{{Name: "sese880", Keys: []string{key}}},
	}
}

// startNodes starts nodes in turn over the zones, and waits until all say that they are ready.
func (f *fleet) startNodes(count int) error {
	for i := range count {
		ip, ports, err := freeAddress()
		if err != nil {
			return err
		}
		n := &node{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), fleet: f,
			frontAt: fmt.Sprintf("%s:%d", ip, ports.front), readyAt: fmt.Sprintf("%s:%d", ip, ports.ready),
		}
		n.file = filepath.Join(f.folder, n.name+".yaml")
		text := fill(f.template, settingsOf(n.name, zones[i%len(zones)], ip, ports, f.storeAt))
		if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
			return errors.Trace(err)
		}
		f.mutex.Lock()
		f.nodes = append(f.nodes, n)
		f.mutex.Unlock()
		if err := n.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// awaitReady waits until all nodes answer that they are ready.
func (f *fleet) awaitReady() error {
	for _, n := range f.nodes {
		deadline := time.Now().Add(readyTimeout)
		for !n.ready() {
			if time.Now().After(deadline) {
				return errors.Errorf("node %s was not ready within %s", n.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.logf("all nodes say that they are ready")
	return nil
}

// start starts the process of the node, as the deploy file says.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	command := exec.Command(n.fleet.program, "proxy")
	command.Env = []string{"CLOVERRAIL_SETTINGS=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Annotatef(err, "cannot start %s", n.name)
	}
	n.process, n.done = command.Process, make(chan struct{})
	go func(done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(n.done)
	n.fleet.rec.logf("node %s is started", n.name)
	return nil
}

// kill sends SIGKILL to the process and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Signal(syscall.SIGKILL)
	<-n.done
}

// ready asks the node whether it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readyAt + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// log returns what the node has logged.
func (n *node) log() string {
	data, _ := os.ReadFile(filepath.Join(n.fleet.folder, n.name+".log"))
	return string(data)
}

// metricsPort is the port of a node's metrics in the template of the settings.
const metricsPort = 9464

// freeAddress returns a loopback address on which the ports of a node are free. They lie below those of outgoing
// connections, whose address is 127.0.0.1.
func freeAddress() (ip string, ports nodePorts, err error) {
	for range 100 {
		ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		base := 12_000 + rand.IntN(10_000)
		ports = nodePorts{front: base, ready: base + 1, peers: base + 2}
		if free(ip, ports.front) && free(ip, ports.ready) && free(ip, ports.peers) && free(ip, metricsPort) {
			return ip, ports, nil
		}
	}
	return "", nodePorts{}, errors.New("no free loopback address")
}

func free(ip string, port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

// A server is one server of a service with its entry in the store.
type server struct {
	*standin.Server
	service string
	address string
	zone    string

	fleet    *fleet
	listener net.Listener
	http     *http.Server

	mutex sync.Mutex
	// listed says that the server writes its entry, and sequence counts the writes.
	listed   bool
	sequence int64
}

// startServer starts a server and writes its entry again and again.
func (f *fleet) startServer(instance, service, servedModel, zone string, handler standin.Handler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &server{Server: standin.NewServer(instance, servedModel, 1, handler), service: service, zone: zone, address: listener.Addr().String(), fleet: f, listener: listener, listed: true}
	s.http = &http.Server{Handler: s.Server}
	f.mutex.Lock()
	f.servers = append(f.servers, s)
	f.mutex.Unlock()
	s.write()
	go func() { _ = s.http.Serve(listener) }()
	go func() {
		for range time.Tick(heartbeat) {
			s.write()
		}
	}()
	return s, nil
}

// write writes the entry of the server, unless it has left.
func (s *server) write() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.listed {
		return
	}
	s.sequence++
	entry := s.Entry(s.service, s.address, s.zone, "ready")
	entry.Slots, entry.Sequence = 64, s.sequence
	s.fleet.store.Put(standin.PrefixServers+s.Instance, entry)
}

// unlist stops the writes of the entry.
func (s *server) unlist() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listed = false
}

// remove removes the entry of the server, and returns when the store had taken that.
func (s *server) remove() time.Time {
	s.unlist()
	s.fleet.store.Remove(standin.PrefixServers + s.Instance)
	return time.Now()
}

// recordArrivals writes to the record what reached the servers, and whether they ran it.
func (f *fleet) recordArrivals() {
	for _, s := range f.servers {
		for _, a := range s.Arrivals() {
			f.rec.notef("request %s reached %s at %.3f; it ran: %t", a.Header.Get(standin.HeaderRequestID), s.Instance, f.rec.at(a.At), a.Ran)
		}
	}
}

// end closes the listener and all connections of the server.
func (s *server) end() { _ = s.http.Close() }
