package node

import (
	"context"

	"github.com/dghubble/sling"

	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

// machine is one entry of the platform's machine list.
type machine struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Epoch is the incarnation that the entry refers to.
	Epoch string `json:"epoch"`
}

// machineLeaving is the state of machines that will be shut down.
const machineLeaving = "leaving"

// pollMachineList periodically marks the backends that the platform's machine list
// reports as leaving. The list is delayed and may refer to an incarnation that has
// already been replaced.
func (node *Node) pollMachineList(ctx context.Context) {
	if node.settings.MachineListAddress == "" {
		return
	}
	client := outbound.NewClient(machineListInterval)
	runPeriodically(ctx, machineListInterval, func() {
		var machines []machine
		_, err := sling.New().Client(client).Get("http://"+node.settings.MachineListAddress+"/machines").Receive(&machines, nil)
		if err == nil {
			node.applyMachineList(machines)
		}
	})
}

func (node *Node) applyMachineList(machines []machine) {
	for _, entry := range machines {
		record, found := node.table.Record(entry.Name)
		if !found || entry.State != machineLeaving || entry.Epoch != record.Epoch {
			continue
		}
		if next, changed := endpoint.MarkLeaving(record); changed {
			node.publishRecord(record, next)
		}
	}
}
