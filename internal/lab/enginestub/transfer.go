package enginestub

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

const transferTimeout = 500 * time.Millisecond

var transferClient = &http.Client{Timeout: transferTimeout}

// blockIdentity returns the label under which blocks are stored. It identifies the
// cache salt and the model version that they were computed with.
func identityOf(salt, version string) string {
	return fmt.Sprintf("%016x", uint64(prefix.KeyOf(salt+"@"+version)))
}

// importableBlocks fetches the blocks that the request may import from the prefix store and
// returns the number of leading ones whose identity matches the request. If the store
// fails or returns other blocks, they are recomputed.
func importable(message *engineapi.CompletionRequest, version string, chain []prefix.Hash) int {
	if message.Transfer == nil || message.Transfer.ImportBlocks == 0 {
		return 0
	}
	wanted := engineapi.KeptBlocks{}
	for _, block := range chain[:min(len(chain), message.Transfer.ImportBlocks)] {
		wanted.Blocks = append(wanted.Blocks, engineapi.KeptBlock{Block: block})
	}
	var found engineapi.KeptBlocks
	call := sling.New().Client(transferClient).Post("http://" + message.Transfer.Store + engineapi.PathKeptFetch).BodyJSON(wanted)
	if _, err := call.ReceiveSuccess(&found); err != nil {
		return 0
	}
	identity := identityOf(message.CacheSalt, version)
	for index, block := range found.Blocks {
		if index >= len(chain) || block.Block != chain[index] || block.Identity != identity {
			return index
		}
	}
	return len(found.Blocks)
}

// exportBlocks saves the blocks of a computed prompt to the prefix store.
func export(store, identity string, chain []prefix.Hash) {
	message := engineapi.KeptBlocks{}
	for _, block := range chain {
		message.Blocks = append(message.Blocks, engineapi.KeptBlock{Block: block, Identity: identity})
	}
	// Errors are ignored: blocks that are not saved are recomputed later.
	_, _ = sling.New().Client(transferClient).Post("http://" + store + engineapi.PathKeptStore).BodyJSON(message).ReceiveSuccess(nil)
}
