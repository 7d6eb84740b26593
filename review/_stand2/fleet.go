package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// site is what the settings of a small deployment say.
type site struct {
	name string
	// zones maps each zone to its number of nodes, in the order of zoneNames.
	zoneNames    []string
	nodesPerZone []int
	memoryMB     int
	retryExtra   int
	versionMs    int
	region       string
}

var (
	kuusisto = site{name: "kuusisto-cr", zoneNames: []string{"espoo-a", "espoo-b", "vantaa-c"}, nodesPerZone: []int{3, 2, 2}, memoryMB: 284, retryExtra: 54, versionMs: 8000, region: "fi-south"}
	derwent  = site{name: "dls-collect", zoneNames: []string{"hobart-a", "hobart-b", "kingston", "glenorchy"}, nodesPerZone: []int{2, 2, 2, 2}, memoryMB: 134, retryExtra: 56, versionMs: 10000, region: "tas-south"}
)

// node is one process of the program, with the settings of the deploy file's template.
type node struct {
	name, zone                          string
	front, ready, control, peer, metric string
	file                                string
	command                             *exec.Cmd
	ended                               chan struct{}
}

// fleet is all nodes of a case.
type fleet struct {
	root, folder string
	nodes        []*node
}

// newFleet writes the settings of each node of a site into a temporary folder.
func newFleet(root, folder string, s site, storeAddress string) (*fleet, error) {
	f := &fleet{root: root, folder: folder}
	for zone, count := range s.nodesPerZone {
		for number := range count {
			n := &node{name: fmt.Sprintf("front-%s-%d", s.zoneNames[zone], number+1), zone: s.zoneNames[zone]}
			for _, address := range []*string{&n.front, &n.ready, &n.control, &n.peer, &n.metric} {
				free, err := freeAddress()
				if err != nil {
					return nil, err
				}
				*address = free
			}
			f.nodes = append(f.nodes, n)
		}
	}
	for _, n := range f.nodes {
		n.file = filepath.Join(folder, n.name+".yaml")
		if err := os.WriteFile(n.file, []byte(f.settings(n, s, storeAddress)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// taken holds the addresses that were given out, so that none is given out twice.
var taken = map[string]bool{}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !taken[address] {
			taken[address] = true
			return address, nil
		}
	}
}

// settings returns the file that the platform makes of deploy/settings.yaml for a node.
func (f *fleet) settings(n *node, s site, storeAddress string) string {
	zones := make([]string, len(s.zoneNames))
	for i, zone := range s.zoneNames {
		zones[i] = fmt.Sprintf("%q: %q", zone, s.region)
	}
	seeds := make([]string, 0, 3)
	for _, other := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.control))
	}
	lines := []string{
		fmt.Sprintf("name: %q", n.name), fmt.Sprintf("zone: %q", n.zone), "zones: {" + strings.Join(zones, ", ") + "}",
		fmt.Sprintf("callerAddress: %q", n.front), fmt.Sprintf("readinessAddress: %q", n.ready), "processorShare: 0.4",
		fmt.Sprintf("memoryMegabytes: %d", s.memoryMB), "descriptors: 4100", fmt.Sprintf("peerAddress: %q", n.peer),
		fmt.Sprintf("seedAddress: %q", n.control), "seeds: [" + strings.Join(seeds, ", ") + "]", fmt.Sprintf("metricsAddress: %q", n.metric),
		fmt.Sprintf("storeAddress: %q", storeAddress), "storeLeastLease: 1000ms", "heartbeat: 1200ms", "grace: 8s",
		"bounds:", "  configuration: 2000ms", "  revocation: 5000ms", "  drain: 2000ms", fmt.Sprintf("  weights: %dms", s.versionMs),
		"  replacedGrace: 1500ms", "  replacedLoss: 0.2", "  contact: 3000ms", "  holderChange: 3000ms", "  retryRatio: 0.2",
		fmt.Sprintf("  retryExtra: %d", s.retryExtra), "  retryWindow: 10s",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	output, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	n.command = exec.Command(filepath.Join(f.root, "target", "cloverrail"), "proxy")
	n.command.Dir = f.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLOVERRAIL_SETTINGS=" + n.file}
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	go func(command *exec.Cmd) {
		_ = command.Wait()
		close(ended)
	}(n.command)
	return nil
}

// startAll starts all nodes.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all nodes that were started.
func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
}

// isReady reports whether a node calls itself ready.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes call themselves ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes were ready after %v", limit)
}
