package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/kvservice"
)

// Keys in the key-value service.
const (
	ManifestKey     = "/cloverrail/configuration/manifest"
	partKeyPrefix   = "/cloverrail/configuration/part/"
	changeKeyPrefix = "/cloverrail/configuration/change/"
)

const (
	// maxSingleReads is the largest number of missing parts read one by one.
	maxSingleReads = 4
	// listPrefixLength covers "tenants/" and one hex digit, which bounds a listing
	// at 256 parts, about 4 MB.
	listPrefixLength = len("tenants/") + 1
)

// maxTransactionOps stays under the service's default limit of 128 operations.
const maxTransactionOps = 100

// Statuses stored under a change's key. The first one written is final.
const (
	statusAccepted = "accepted"
	statusVoid     = "void"
)

// KeyValueService is the subset of the key-value service that Store uses.
type KeyValueService interface {
	Get(ctx context.Context, key string) (kvservice.KeyValue, error)
	List(ctx context.Context, prefix string) ([]kvservice.KeyValue, error)
	Commit(ctx context.Context, transaction kvservice.TxnRequest) (kvservice.TxnResponse, error)
}

// Version is one accepted revision of the declaration with all its parts.
type Version struct {
	Revision int64
	Manifest Manifest
	Parts    []Part
}

// Compile joins the parts and compiles the declaration. It modifies the parts,
// so it must be called before the version is shared between goroutines.
func (version *Version) Compile() (*configuration.Snapshot, error) {
	declaration, err := Join(version.Parts)
	if err != nil {
		return nil, err
	}
	if err := shareTenants(version.Parts, declaration); err != nil {
		return nil, err
	}
	return configuration.Compile(version.Revision, version.Manifest.ChangeID, declaration), nil
}

// Store reads and changes the declaration.
type Store struct {
	service KeyValueService
}

// New returns a store backed by the service.
func New(service KeyValueService) *Store {
	return &Store{service: service}
}

// Read fetches the version in force and reuses the parts already present in
// cached, which may be nil. It returns nil if no declaration was ever applied.
func (store *Store) Read(ctx context.Context, cached *Version) (*Version, error) {
	stored, err := store.service.Get(ctx, ManifestKey)
	if err != nil {
		return nil, err
	}
	if stored.ModRevision == 0 {
		return nil, nil
	}
	version := &Version{Revision: stored.ModRevision}
	if err := json.Unmarshal(stored.Value, &version.Manifest); err != nil {
		return nil, errors.Annotate(err, "cannot decode the stored manifest; apply the declaration again")
	}
	parts := PartsByName(cached)
	if err := store.fetchParts(ctx, version.Manifest, parts); err != nil {
		return nil, err
	}
	for _, name := range version.Manifest.Parts {
		part, found := parts[name]
		if !found {
			return nil, failure.New(failure.KindUnavailable, "part "+name.Name+" was deleted by a concurrent change", "read again")
		}
		version.Parts = append(version.Parts, part)
	}
	return version, nil
}

// fetchParts adds the missing parts of the manifest to parts. It reads them one
// by one if few are missing, as after a change, and by prefix listings if many
// are, as after a restart. This limits the number of requests: the service
// allows a low request rate, and after a simultaneous restart of the fleet many
// nodes read at once.
func (store *Store) fetchParts(ctx context.Context, manifest Manifest, parts map[PartName]Part) error {
	missing := []PartName{}
	for _, name := range manifest.Parts {
		if _, found := parts[name]; !found {
			missing = append(missing, name)
		}
	}
	if len(missing) > maxSingleReads {
		return store.listParts(ctx, missing, parts)
	}
	for _, name := range missing {
		value, err := store.service.Get(ctx, partKey(name))
		if err != nil {
			return err
		}
		if value.ModRevision > 0 {
			parts[name] = Part{Name: name.Name, Digest: name.Digest, Data: value.Value}
		}
	}
	return nil
}

// listParts reads the missing parts with one prefix listing for each distinct
// name prefix.
func (store *Store) listParts(ctx context.Context, missing []PartName, parts map[PartName]Part) error {
	listed := map[string]bool{}
	for _, name := range missing {
		namePrefix := name.Name[:min(len(name.Name), listPrefixLength)]
		if listed[namePrefix] {
			continue
		}
		listed[namePrefix] = true
		values, err := store.service.List(ctx, partKeyPrefix+namePrefix)
		if err != nil {
			return err
		}
		for _, value := range values {
			path := strings.TrimPrefix(string(value.Key), partKeyPrefix)
			separator := strings.LastIndex(path, "/")
			if separator > 0 {
				parts[PartName{Name: path[:separator], Digest: path[separator+1:]}] = Part{Name: path[:separator], Digest: path[separator+1:], Data: value.Value}
			}
		}
	}
	return nil
}

// PartsByName indexes the parts of a version, which may be nil.
func PartsByName(version *Version) map[PartName]Part {
	parts := map[PartName]Part{}
	if version == nil {
		return parts
	}
	for _, part := range version.Parts {
		parts[PartName{Name: part.Name, Digest: part.Digest}] = part
	}
	return parts
}

func partKey(name PartName) string {
	return partKeyPrefix + name.Name + "/" + name.Digest
}

// Propose replaces base, which is nil for the first declaration, with the given
// declaration. It returns the new version if and only if the change is
// permanently in force. An error of kind conflict means that the change will
// never take effect. An error of kind unknown_outcome means that the service
// could not be reached; Settle determines the outcome later.
func (store *Store) Propose(ctx context.Context, base *Version, changeID string, declaration *configuration.Declaration) (*Version, error) {
	previous, err := previousHolders(base, declaration)
	if err != nil {
		return nil, err
	}
	return store.propose(ctx, base, changeID, declaration, previous)
}

// CompleteHolderChange removes the previous claim holders from the declaration
// once the new ones have taken over.
func (store *Store) CompleteHolderChange(ctx context.Context, base *Version, changeID string) (*Version, error) {
	declaration, err := Join(base.Parts)
	if err != nil {
		return nil, err
	}
	return store.propose(ctx, base, changeID, declaration, nil)
}

// previousHolders returns the holders whose claims the holders of the
// declaration have to take over.
func previousHolders(base *Version, declaration *configuration.Declaration) ([]string, error) {
	if base == nil {
		return nil, nil
	}
	current, err := decodeBase(base.Parts)
	if err != nil {
		return nil, err
	}
	if slices.Equal(current.Claims.Holders, declaration.Claims.Holders) || len(current.Claims.Holders) == 0 {
		return current.Claims.Previous, nil
	}
	if len(current.Claims.Previous) > 0 {
		return nil, failure.New(failure.KindConflict, "a change of claims.holders is still in progress",
			"apply again once the new holders have taken over; at most one of the old and one of the new holders may be down")
	}
	return current.Claims.Holders, nil
}

func (store *Store) propose(ctx context.Context, base *Version, changeID string, proposed *configuration.Declaration, previous []string) (*Version, error) {
	declaration := *proposed
	declaration.Claims.Previous = previous
	parts, err := Split(&declaration)
	if err != nil {
		return nil, err
	}
	version := &Version{Manifest: Manifest{ChangeID: changeID}, Parts: parts}
	transaction, err := store.prepare(ctx, base, version)
	if err != nil {
		return nil, err
	}
	response, err := store.service.Commit(ctx, transaction)
	if err == nil && response.Succeeded {
		version.Revision = response.Header.Revision
		return version, nil
	}
	// A lost response and a failed comparison are indistinguishable here: an
	// earlier attempt of a retried transaction may have taken effect.
	accepted, settleErr := store.Settle(ctx, changeID)
	if settleErr != nil {
		return nil, failure.New(failure.KindUnknownOutcome, "the key-value service did not confirm change "+changeID,
			"determine its outcome with `cloverrail apply --settle "+changeID+"`").WithOutcome(failure.Unknown)
	}
	if !accepted {
		return nil, store.conflict(ctx, base)
	}
	return store.Read(ctx, version)
}

// prepare returns the transaction that puts the version in force. New parts that
// do not fit into it are stored beforehand.
func (store *Store) prepare(ctx context.Context, base, version *Version) (kvservice.TxnRequest, error) {
	stored := PartsByName(base)
	puts := []kvservice.RequestOp{}
	for _, part := range version.Parts {
		name := PartName{Name: part.Name, Digest: part.Digest}
		version.Manifest.Parts = append(version.Manifest.Parts, name)
		if _, found := stored[name]; !found {
			puts = append(puts, kvservice.Put(partKey(name), part.Data))
		}
		delete(stored, name)
	}
	for len(puts) > maxTransactionOps/2 {
		batch := puts[:maxTransactionOps/2]
		if _, err := store.service.Commit(ctx, kvservice.TxnRequest{Success: batch}); err != nil {
			// Parts that no manifest refers to have no effect, so the change did
			// not run even if they were stored.
			return kvservice.TxnRequest{}, failure.As(err).WithOutcome(failure.NotRun)
		}
		puts = puts[len(batch):]
	}
	manifest, err := json.Marshal(version.Manifest)
	if err != nil {
		return kvservice.TxnRequest{}, errors.Trace(err)
	}
	operations := append(puts,
		kvservice.Put(ManifestKey, manifest),
		kvservice.Put(changeKeyPrefix+version.Manifest.ChangeID, []byte(statusAccepted)))
	for name := range stored {
		if len(operations) < maxTransactionOps {
			operations = append(operations, kvservice.Delete(partKey(name)))
		}
	}
	return kvservice.TxnRequest{
		Compare: []kvservice.Compare{
			kvservice.IfModRevision(ManifestKey, revisionOf(base)),
			kvservice.IfAbsent(changeKeyPrefix + version.Manifest.ChangeID),
		},
		Success: operations,
	}, nil
}

// Settle determines the outcome of a change whose response was lost. Unless the
// change is already in force, it marks the change void, after which a delayed
// transaction of the change can no longer take effect.
func (store *Store) Settle(ctx context.Context, changeID string) (accepted bool, err error) {
	key := changeKeyPrefix + changeID
	// The result is ignored: the read below shows whether the status was written.
	_, _ = store.service.Commit(ctx, kvservice.TxnRequest{
		Compare: []kvservice.Compare{kvservice.IfAbsent(key)},
		Success: []kvservice.RequestOp{kvservice.Put(key, []byte(statusVoid))},
	})
	status, err := store.service.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if status.ModRevision == 0 {
		return false, failure.New(failure.KindUnknownOutcome, "the outcome of the change could not be determined", "try again").WithOutcome(failure.Unknown)
	}
	return string(status.Value) == statusAccepted, nil
}

// revisionOf returns the revision of a version, or 0 for nil.
func revisionOf(version *Version) int64 {
	if version == nil {
		return 0
	}
	return version.Revision
}

func (store *Store) conflict(ctx context.Context, base *Version) error {
	problem := fmt.Sprintf("another change replaced revision %d", revisionOf(base))
	if winner, err := store.Read(ctx, base); err == nil && winner != nil {
		problem = fmt.Sprintf("revision %d, change %s, replaced revision %d", winner.Revision, winner.Manifest.ChangeID, revisionOf(base))
	}
	return failure.New(failure.KindConflict, problem, "run `cloverrail plan` to see the difference, then apply again")
}
