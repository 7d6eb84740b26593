package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/fleet"
)

// directoryTTL is how long nodes that were read from the store are used before they are read again.
const directoryTTL = 30 * time.Second

// failedReadDelay is how long after a failed read the nodes are read again.
const failedReadDelay = time.Second

// Directory lists the nodes through which attempts may be sent. In a large fleet a node knows only the
// first ones by rank, which could not carry the load of a whole zone; while it needs others, it reads
// more from the store.
type Directory struct {
	// Known returns the other nodes that this node knows by name, and Fleet the size of the fleet.
	Known func() []fleet.Node
	Fleet func() int
	// Read reads the first page of the registrations of all nodes.
	Read func(ctx context.Context) ([]fleet.Node, error)

	mutex    sync.Mutex
	read     []fleet.Node
	nextRead time.Time
}

// Nodes returns the nodes.
func (d *Directory) Nodes() []fleet.Node {
	known := d.Known()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.read) > len(known) {
		return d.read
	}
	return known
}

// Refresh reads more nodes from the store unless this node knows the whole fleet or has read them of
// late. It is to be called while attempts are sent through other nodes.
func (d *Directory) Refresh(ctx context.Context, now time.Time) error {
	whole := len(d.Known())+1 >= d.Fleet()
	d.mutex.Lock()
	due := !whole && !now.Before(d.nextRead)
	if due {
		d.nextRead = now.Add(directoryTTL)
	}
	if whole {
		d.read = nil
	}
	d.mutex.Unlock()
	if !due {
		return nil
	}
	nodes, err := d.Read(ctx)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.nextRead = now.Add(failedReadDelay)
		return err
	}
	d.read = nodes
	return nil
}
