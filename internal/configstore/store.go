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

// The keys used in the service.
const (
	ManifestKey     = "/cloverrail/configuration/manifest"
	partKeyPrefix   = "/cloverrail/configuration/part/"
	changeKeyPrefix = "/cloverrail/configuration/change/"
)

const (
	// partsReadSingly is how many missing parts are read one by one.
	partsReadSingly = 4
	// listedBeginning is the length of "tenants/" and one digit: at most 256 parts,
	// some 4 MB, in one answer.
	listedBeginning = len("tenants/") + 1
)

// operationsPerTransaction stays under the service's usual limit of 128.
const operationsPerTransaction = 100

// The marks stored under a change's key. Whichever is written first is final.
const (
	markAccepted = "accepted"
	markVoid     = "void"
)

// KeyValues is what the store needs of the key-value service.
type KeyValues interface {
	Get(ctx context.Context, key string) (kvservice.KeyValue, error)
	List(ctx context.Context, prefix string) ([]kvservice.KeyValue, error)
	Commit(ctx context.Context, transaction kvservice.TxnRequest) (kvservice.TxnResponse, error)
}

// Version is one accepted revision with all of its parts.
type Version struct {
	Revision int64
	Manifest Manifest
	Parts    []Part
}

// Compile joins the parts and compiles them. It must be called before the
// version is shared.
func (version *Version) Compile() (*configuration.Snapshot, error) {
	declaration, err := Join(version.Parts)
	if err != nil {
		return nil, err
	}
	if err := release(version.Parts, declaration); err != nil {
		return nil, err
	}
	return configuration.Compile(version.Revision, version.Manifest.ChangeID, declaration), nil
}

// Store reads and changes the declaration.
type Store struct {
	service KeyValues
}

// New returns a store on the service.
func New(service KeyValues) *Store {
	return &Store{service: service}
}

// Read fetches the version in force, taking parts that known already holds from
// there. The version is nil when nothing was ever applied.
func (store *Store) Read(ctx context.Context, known *Version) (*Version, error) {
	stored, err := store.service.Get(ctx, ManifestKey)
	if err != nil {
		return nil, err
	}
	if stored.ModRevision == 0 {
		return nil, nil
	}
	version := &Version{Revision: stored.ModRevision}
	if err := json.Unmarshal(stored.Value, &version.Manifest); err != nil {
		return nil, errors.Annotate(err, "the stored manifest cannot be read; apply the declaration again")
	}
	held := HeldParts(known)
	if err := store.fetch(ctx, version.Manifest, held); err != nil {
		return nil, err
	}
	for _, name := range version.Manifest.Parts {
		part, found := held[name]
		if !found {
			return nil, failure.New(failure.KindUnavailable, "part "+name.Name+" is gone; another change came meanwhile", "read again")
		}
		version.Parts = append(version.Parts, part)
	}
	return version, nil
}

// fetch adds the manifest's missing parts to those held: one by one when few are
// missing, as after a change, and by lists when many are, as after a restart. The
// service's rate is small, and after a herd restart many nodes ask at once.
func (store *Store) fetch(ctx context.Context, manifest Manifest, held map[PartName]Part) error {
	missing := []PartName{}
	for _, name := range manifest.Parts {
		if _, found := held[name]; !found {
			missing = append(missing, name)
		}
	}
	if len(missing) > partsReadSingly {
		return store.list(ctx, missing, held)
	}
	for _, name := range missing {
		value, err := store.service.Get(ctx, partKey(name))
		if err != nil {
			return err
		}
		if value.ModRevision > 0 {
			held[name] = Part{Name: name.Name, Digest: name.Digest, Data: value.Value}
		}
	}
	return nil
}

// list reads the missing parts by lists of those whose names begin alike.
func (store *Store) list(ctx context.Context, missing []PartName, held map[PartName]Part) error {
	listed := map[string]bool{}
	for _, name := range missing {
		beginning := name.Name[:min(len(name.Name), listedBeginning)]
		if listed[beginning] {
			continue
		}
		listed[beginning] = true
		values, err := store.service.List(ctx, partKeyPrefix+beginning)
		if err != nil {
			return err
		}
		for _, value := range values {
			full := strings.TrimPrefix(string(value.Key), partKeyPrefix)
			cut := strings.LastIndex(full, "/")
			if cut > 0 {
				held[PartName{Name: full[:cut], Digest: full[cut+1:]}] = Part{Name: full[:cut], Digest: full[cut+1:], Data: value.Value}
			}
		}
	}
	return nil
}

// HeldParts indexes the parts of a version, which may be nil.
func HeldParts(version *Version) map[PartName]Part {
	held := map[PartName]Part{}
	if version == nil {
		return held
	}
	for _, part := range version.Parts {
		held[PartName{Name: part.Name, Digest: part.Digest}] = part
	}
	return held
}

func partKey(name PartName) string {
	return partKeyPrefix + name.Name + "/" + name.Digest
}

// Propose makes the declaration the successor of base (nil for the first one).
// It returns the new version exactly when the change is in force for good. Any
// error of kind conflict means that it never will be. An error of kind
// unknown_outcome means that the service could not be asked; Settle tells later.
func (store *Store) Propose(ctx context.Context, base *Version, changeID string, declaration *configuration.Declaration) (*Version, error) {
	previous, err := previousHolders(base, declaration)
	if err != nil {
		return nil, err
	}
	return store.propose(ctx, base, changeID, declaration, previous)
}

// SettleHolders ends a change of the claim holders, once they have taken over.
func (store *Store) SettleHolders(ctx context.Context, base *Version, changeID string) (*Version, error) {
	declaration, err := Join(base.Parts)
	if err != nil {
		return nil, err
	}
	return store.propose(ctx, base, changeID, declaration, nil)
}

// previousHolders says which holders have to hand over under the declaration.
func previousHolders(base *Version, declaration *configuration.Declaration) ([]string, error) {
	if base == nil {
		return nil, nil
	}
	before, err := readBase(base.Parts)
	if err != nil {
		return nil, err
	}
	if slices.Equal(before.Claims.Holders, declaration.Claims.Holders) || len(before.Claims.Holders) == 0 {
		return before.Claims.Previous, nil
	}
	if len(before.Claims.Previous) > 0 {
		return nil, failure.New(failure.KindConflict, "a change of claims.holders is still under way",
			"apply again once the holders have taken over; all but one of the old and of the new must be up")
	}
	return before.Claims.Holders, nil
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
	answer, err := store.service.Commit(ctx, transaction)
	if err == nil && answer.Succeeded {
		version.Revision = answer.Header.Revision
		return version, nil
	}
	// A lost answer and a failed comparison look alike from here: the first try
	// of a repeated transaction may have been the one that took effect.
	accepted, settleError := store.Settle(ctx, changeID)
	if settleError != nil {
		return nil, failure.New(failure.KindUnknownOutcome, "the key-value service gave no answer on change "+changeID,
			"ask again with `cloverrail apply --settle "+changeID+"`").WithOutcome(failure.Unknown)
	}
	if !accepted {
		return nil, store.conflict(ctx, base)
	}
	return store.Read(ctx, version)
}

// prepare stores new parts that do not fit into the deciding transaction and
// returns that transaction.
func (store *Store) prepare(ctx context.Context, base, version *Version) (kvservice.TxnRequest, error) {
	held := HeldParts(base)
	puts := []kvservice.RequestOp{}
	for _, part := range version.Parts {
		name := PartName{Name: part.Name, Digest: part.Digest}
		version.Manifest.Parts = append(version.Manifest.Parts, name)
		if _, found := held[name]; !found {
			puts = append(puts, kvservice.Put(partKey(name), part.Data))
		}
		delete(held, name)
	}
	for len(puts) > operationsPerTransaction/2 {
		early := puts[:operationsPerTransaction/2]
		if _, err := store.service.Commit(ctx, kvservice.TxnRequest{Success: early}); err != nil {
			// Parts without a manifest change nothing, whatever became of them.
			return kvservice.TxnRequest{}, failure.As(err).WithOutcome(failure.NotRun)
		}
		puts = puts[len(early):]
	}
	manifest, err := json.Marshal(version.Manifest)
	if err != nil {
		return kvservice.TxnRequest{}, errors.Trace(err)
	}
	operations := append(puts,
		kvservice.Put(ManifestKey, manifest),
		kvservice.Put(changeKeyPrefix+version.Manifest.ChangeID, []byte(markAccepted)))
	for name := range held {
		if len(operations) < operationsPerTransaction {
			operations = append(operations, kvservice.Delete(partKey(name)))
		}
	}
	return kvservice.TxnRequest{
		Compare: []kvservice.Compare{
			kvservice.IfModified(ManifestKey, revisionOf(base)),
			kvservice.IfAbsent(changeKeyPrefix + version.Manifest.ChangeID),
		},
		Success: operations,
	}, nil
}

// Settle decides a change whose answer was lost. It writes a mark that voids
// the change unless the change is already in force; after that a delayed
// transaction of the change can no longer take effect.
func (store *Store) Settle(ctx context.Context, changeID string) (accepted bool, err error) {
	key := changeKeyPrefix + changeID
	// The answer does not matter: if the mark was lost or refused, the read shows it.
	_, _ = store.service.Commit(ctx, kvservice.TxnRequest{
		Compare: []kvservice.Compare{kvservice.IfAbsent(key)},
		Success: []kvservice.RequestOp{kvservice.Put(key, []byte(markVoid))},
	})
	mark, err := store.service.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if mark.ModRevision == 0 {
		return false, failure.New(failure.KindUnknownOutcome, "the change could not be settled", "ask again").WithOutcome(failure.Unknown)
	}
	return string(mark.Value) == markAccepted, nil
}

// revisionOf is 0 for the absence of any version.
func revisionOf(version *Version) int64 {
	if version == nil {
		return 0
	}
	return version.Revision
}

func (store *Store) conflict(ctx context.Context, base *Version) error {
	problem := fmt.Sprintf("another change came after revision %d", revisionOf(base))
	if winner, err := store.Read(ctx, base); err == nil && winner != nil {
		problem = fmt.Sprintf("revision %d, change %s, came after revision %d", winner.Revision, winner.Manifest.ChangeID, revisionOf(base))
	}
	return failure.New(failure.KindConflict, problem, "run `cloverrail plan` to see the difference, then apply again")
}
