package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/cloverrail/cloverrail/internal/claim"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/lab/machinestub"
	"github.com/cloverrail/cloverrail/internal/operator"
)

// OperatorKey authenticates against the operator API of a test cluster.
const OperatorKey = "demo-operator"

const (
	fleetKey          = "6c61622d666c6565742d6b65792d31323334"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Config holds the settings of a cluster.
type Config struct {
	// Declaration is a template; Start replaces its addresses.
	Declaration *configuration.Declaration
	Nodes       int
	// MachineListLag delays changes of the machine list.
	MachineListLag time.Duration
	// EventLossRate is the fraction of cache events that engines drop.
	EventLossRate float64
	// Log receives the output of all processes; nil discards it.
	Log io.Writer
	// PartitionIndex gives each chain of the prefix index a single owner node
	// instead of replicating the index on every node, as in a large fleet.
	PartitionIndex bool
	// StepTime is the step time of the engines.
	StepTime time.Duration
}

// Node holds the process and addresses of one node.
type Node struct {
	Process         *Process
	Zone            string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// Backend holds the process and address of one stub server.
type Backend struct {
	Process *Process
	Name    string
	Address string
}

// Cluster is a set of running nodes with the stub services that they use.
type Cluster struct {
	config      Config
	Declaration *configuration.Declaration
	Nodes       []*Node
	Engines     []*Backend
	Servers     []*Backend
	Stores      []*Backend
	KeyValue    *Backend
	Machines    *Backend
	Weights     *Backend
	client      *http.Client
}

// Start starts all processes, applies the declaration and waits until every node
// is ready.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	cluster := &Cluster{config: config, client: &http.Client{Timeout: 10 * time.Second}}
	if err := cluster.start(ctx); err != nil {
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
}

func (cluster *Cluster) start(ctx context.Context) error {
	copied := *cluster.config.Declaration
	cluster.Declaration = &copied
	if err := cluster.startPlatform(); err != nil {
		return err
	}
	if err := cluster.startBackends(); err != nil {
		return err
	}
	holders := []string{}
	for index := range cluster.config.Nodes {
		zone := copied.Zones[index%len(copied.Zones)].Name
		cluster.Nodes = append(cluster.Nodes, &Node{Zone: zone, CallerAddress: address.Free(), PeerAddress: address.Free(), OperatorAddress: address.Free()})
		holders = append(holders, cluster.Nodes[index].PeerAddress)
	}
	cluster.Declaration.Claims.Holders = nil
	if len(holders) >= claim.HoldersPerKey {
		cluster.Declaration.Claims.Holders = holders[:claim.HoldersPerKey]
	}
	for index := range cluster.Nodes {
		if err := cluster.StartNode(index); err != nil {
			return err
		}
	}
	if err := cluster.await(ctx, func() bool { return cluster.returnsOK(cluster.Nodes[0].OperatorAddress, "/healthz") }); err != nil {
		return err
	}
	if _, err := cluster.Apply(ctx, 0, cluster.Declaration, uuid.NewString()); err != nil {
		return err
	}
	return cluster.await(ctx, cluster.AllReady)
}

func (cluster *Cluster) startPlatform() error {
	cluster.KeyValue = &Backend{Name: "key-value", Address: address.Free()}
	cluster.Machines = &Backend{Name: "machines", Address: address.Free()}
	cluster.Weights = &Backend{Name: "weights", Address: address.Free()}
	var err error
	if cluster.Weights.Process, err = startSelf("weights", cluster.config.Log, "standin", "weights", "--address", cluster.Weights.Address,
		"--at-once", fmt.Sprint(cluster.Declaration.Pools[0].LoadsAtOnce)); err != nil {
		return err
	}
	if cluster.KeyValue.Process, err = startSelf("key-value", cluster.config.Log, "standin", "key-value", "--address", cluster.KeyValue.Address); err != nil {
		return err
	}
	cluster.Machines.Process, err = startSelf("machines", cluster.config.Log, "standin", "machines",
		"--address", cluster.Machines.Address, "--lag", cluster.config.MachineListLag.String())
	return err
}

func (cluster *Cluster) startBackends() error {
	declaration := cluster.Declaration
	pools := append([]configuration.Pool(nil), declaration.Pools...)
	for index := range pools {
		pool := &pools[index]
		pool.Engines = append([]configuration.Backend(nil), pool.Engines...)
		if pool.PrefixStore != nil {
			store := *pool.PrefixStore
			store.Address = address.Free()
			pool.PrefixStore = &store
			backend := &Backend{Name: store.Name, Address: store.Address}
			cluster.Stores = append(cluster.Stores, backend)
			var err error
			if backend.Process, err = startSelf(store.Name, cluster.config.Log, "standin", "kept", "--address", store.Address); err != nil {
				return err
			}
		}
		for position := range pool.Engines {
			pool.Engines[position].Address = address.Free()
			backend := &Backend{Name: pool.Engines[position].Name, Address: pool.Engines[position].Address}
			cluster.Engines = append(cluster.Engines, backend)
			if err := cluster.StartEngine(backend); err != nil {
				return err
			}
		}
	}
	declaration.Pools = pools
	services := append([]configuration.Service(nil), declaration.Services...)
	for index := range services {
		service := &services[index]
		service.Servers = append([]configuration.Backend(nil), service.Servers...)
		for position := range service.Servers {
			service.Servers[position].Address = address.Free()
			backend := &Backend{Name: service.Servers[position].Name, Address: service.Servers[position].Address}
			var err error
			if backend.Process, err = startSelf(backend.Name, cluster.config.Log, "standin", "plain", "--address", backend.Address); err != nil {
				return err
			}
			cluster.Servers = append(cluster.Servers, backend)
		}
	}
	declaration.Services = services
	return nil
}

// StartEngine starts or restarts the process of an engine.
func (cluster *Cluster) StartEngine(backend *Backend) error {
	weights := []string{}
	for _, model := range cluster.Declaration.Models {
		weights = append(weights, model.Name+"="+model.Version)
	}
	pool := cluster.config.Declaration.Pools[0]
	var err error
	backend.Process, err = startSelf(backend.Name, cluster.config.Log, "standin", "engine",
		"--address", backend.Address,
		"--weights", strings.Join(weights, ","),
		"--block-bytes", fmt.Sprint(pool.BlockBytes),
		"--prefill", fmt.Sprint(pool.PrefillTokensPerSecond),
		"--step", cluster.config.StepTime.String(),
		"--event-gap", fmt.Sprint(cluster.config.EventLossRate),
		"--weight-store", cluster.Weights.Address)
	return err
}

// StartNode starts or restarts the process of a node.
func (cluster *Cluster) StartNode(index int) error {
	node := cluster.Nodes[index]
	arguments := []string{"node", "--zone", node.Zone, "--caller-address", node.CallerAddress, "--peer-address", node.PeerAddress,
		"--operator-address", node.OperatorAddress, "--key-value-address", cluster.KeyValue.Address,
		"--machine-list-address", cluster.Machines.Address, "--bootstrap-digest", configuration.Digest(OperatorKey), "--drain-deadline", "60s"}
	if cluster.config.PartitionIndex {
		arguments = append(arguments, "--replicate-up-to", "0")
	}
	for _, other := range cluster.Nodes {
		arguments = append(arguments, "--seed", other.PeerAddress)
	}
	if os.Getenv("CLOVERRAIL_FLEET_KEY") == "" {
		if err := os.Setenv("CLOVERRAIL_FLEET_KEY", fleetKey); err != nil {
			return errors.Trace(err)
		}
	}
	var err error
	node.Process, err = startSelf("node "+node.PeerAddress, cluster.config.Log, arguments...)
	return err
}

// Apply applies a declaration through a node.
func (cluster *Cluster) Apply(ctx context.Context, node int, declaration *configuration.Declaration, changeID string) (operator.ChangeResponse, error) {
	return Post[operator.ChangeResponse](ctx, cluster, node, "apply", operator.ApplyRequest{ChangeID: changeID, File: "lab", Declaration: declaration})
}

// Post sends a request to the operator API of a node.
func Post[Answer any](ctx context.Context, cluster *Cluster, node int, path string, message any) (Answer, error) {
	var answer Answer
	var errorBody operator.ErrorResponse
	request, err := sling.New().Post("http://"+cluster.Nodes[node].OperatorAddress+"/operator/"+path).
		Set("Authorization", "Bearer "+OperatorKey).BodyJSON(message).Request()
	if err != nil {
		return answer, errors.Trace(err)
	}
	response, err := sling.New().Client(cluster.client).Do(request.WithContext(ctx), &answer, &errorBody)
	if err != nil {
		return answer, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("%s (%s, %s); %s", errorBody.Problem, errorBody.Kind, errorBody.Outcome, errorBody.Remedy)
	}
	return answer, nil
}

// Status queries the operator API of a node for its status.
func (cluster *Cluster) Status(node int) (operator.StatusResponse, error) {
	var answer operator.StatusResponse
	_, err := sling.New().Client(cluster.client).Get("http://"+cluster.Nodes[node].OperatorAddress+"/operator/status").
		Set("Authorization", "Bearer "+OperatorKey).ReceiveSuccess(&answer)
	return answer, err
}

// Fetch reads a JSON value from a stub server.
func Fetch[Value any](cluster *Cluster, address, path string) (Value, error) {
	var value Value
	response, err := sling.New().Client(cluster.client).Get("http://" + address + path).ReceiveSuccess(&value)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s%s returned status %d", address, path, response.StatusCode)
	}
	return value, err
}

// Control sends a control command to a stub server.
func (cluster *Cluster) Control(address, action string, body any) error {
	call := sling.New().Client(cluster.client).Post("http://" + address + "/" + action)
	if body != nil {
		call = call.BodyJSON(body)
	}
	_, err := call.ReceiveSuccess(nil)
	return errors.Trace(err)
}

// SetKeyValueFaults sets the faults that the key-value service injects.
func (cluster *Cluster) SetKeyValueFaults(faults kvstub.Faults) error {
	return cluster.Control(cluster.KeyValue.Address, "control/faults", faults)
}

// SetMachine changes one entry of the machine list.
func (cluster *Cluster) SetMachine(machine machinestub.Machine) error {
	return cluster.Control(cluster.Machines.Address, "machines", machine)
}

// AllReady reports whether every node accepts requests.
func (cluster *Cluster) AllReady() bool {
	for _, node := range cluster.Nodes {
		if !cluster.returnsOK(node.CallerAddress, "/readyz") {
			return false
		}
	}
	return true
}

// Ready reports whether a node accepts requests.
func (cluster *Cluster) Ready(node int) bool {
	return cluster.returnsOK(cluster.Nodes[node].CallerAddress, "/readyz")
}

// await polls until the condition holds or readyTimeout has passed.
func (cluster *Cluster) await(ctx context.Context, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Errorf("fleet not ready after %s; output of the first node:\n%s", readyTimeout, cluster.Nodes[0].Process.Output())
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

func (cluster *Cluster) returnsOK(address, path string) bool {
	response, err := cluster.client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop kills every process that the cluster started.
func (cluster *Cluster) Stop() {
	processes := []*Process{}
	for _, node := range cluster.Nodes {
		processes = append(processes, node.Process)
	}
	for _, backend := range append(append([]*Backend{cluster.KeyValue, cluster.Machines, cluster.Weights}, cluster.Engines...), append(cluster.Servers, cluster.Stores...)...) {
		if backend != nil {
			processes = append(processes, backend.Process)
		}
	}
	for _, process := range processes {
		if process != nil {
			process.Signal(syscall.SIGKILL)
		}
	}
	for _, process := range processes {
		if process != nil {
			process.Wait(killTimeout)
		}
	}
}

// Metric returns the value of a gauge without labels on a node, or 0 if it cannot
// be read.
func (cluster *Cluster) Metric(node int, name string) float64 {
	response, err := cluster.client.Get("http://" + cluster.Nodes[node].OperatorAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil || families[name] == nil {
		return 0
	}
	return families[name].GetMetric()[0].GetGauge().GetValue()
}
