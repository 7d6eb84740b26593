// Package kvstub implements a stub of the platform's key-value service: the part of the
// published JSON mapping of etcd v3 that cloverrail calls, with fault injection.
package kvstub

import (
	"sort"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/kvservice"
)

// Store holds the data of the stub. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	revision int64
	pairs    map[string]kvservice.KeyValue
	leases   map[int64]*lease
	watchers map[*watcher]bool
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type watcher struct {
	key    string
	events chan kvservice.WatchResult
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, pairs: map[string]kvservice.KeyValue{}, leases: map[int64]*lease{}, watchers: map[*watcher]bool{}}
}

func (store *Store) expire(now time.Time) {
	for id, current := range store.leases {
		if now.Before(current.expiresAt) {
			continue
		}
		delete(store.leases, id)
		for key, pair := range store.pairs {
			if pair.Lease == id {
				store.revision++
				delete(store.pairs, key)
			}
		}
	}
}

// Get executes a range request.
func (store *Store) Get(request kvservice.RangeRequest) kvservice.RangeResponse {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire(time.Now())
	response := kvservice.RangeResponse{Header: kvservice.ResponseHeader{Revision: store.revision}}
	if len(request.RangeEnd) == 0 {
		if pair, found := store.pairs[string(request.Key)]; found {
			response.Kvs = append(response.Kvs, pair)
		}
		return response
	}
	for key, pair := range store.pairs {
		if key >= string(request.Key) && key < string(request.RangeEnd) {
			response.Kvs = append(response.Kvs, pair)
		}
	}
	sort.Slice(response.Kvs, func(i, j int) bool { return string(response.Kvs[i].Key) < string(response.Kvs[j].Key) })
	return response
}

// Commit executes a transaction.
func (store *Store) Commit(request kvservice.TxnRequest) kvservice.TxnResponse {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire(time.Now())
	for _, condition := range request.Compare {
		if !store.matches(condition) {
			return kvservice.TxnResponse{Header: kvservice.ResponseHeader{Revision: store.revision}}
		}
	}
	store.revision++
	for _, operation := range request.Success {
		store.apply(operation)
	}
	return kvservice.TxnResponse{Header: kvservice.ResponseHeader{Revision: store.revision}, Succeeded: true}
}

func (store *Store) matches(condition kvservice.Compare) bool {
	pair := store.pairs[string(condition.Key)]
	if condition.ModRevision != nil {
		return pair.ModRevision == *condition.ModRevision
	}
	if condition.CreateRevision != nil {
		return pair.CreateRevision == *condition.CreateRevision
	}
	return false
}

func (store *Store) apply(operation kvservice.RequestOp) {
	if operation.RequestDeleteRange != nil {
		delete(store.pairs, string(operation.RequestDeleteRange.Key))
		return
	}
	put := operation.RequestPut
	pair := store.pairs[string(put.Key)]
	if pair.CreateRevision == 0 {
		pair.CreateRevision = store.revision
	}
	pair.Key, pair.Value, pair.Lease, pair.ModRevision = put.Key, put.Value, put.Lease, store.revision
	store.pairs[string(put.Key)] = pair
	for watcher := range store.watchers {
		if watcher.key == string(put.Key) {
			watcher.send(kvservice.WatchResult{
				Header: kvservice.ResponseHeader{Revision: store.revision},
				Events: []kvservice.WatchEvent{{Type: "PUT", Kv: pair}},
			})
		}
	}
}

// send drops the result if the watcher's buffer is full, so that a slow watcher never
// blocks the store.
func (watcher *watcher) send(result kvservice.WatchResult) {
	select {
	case watcher.events <- result:
	default:
	}
}

func (store *Store) grant(ttl time.Duration) int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.leases[store.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return store.revision
}

func (store *Store) keepAlive(id int64) time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire(time.Now())
	current, found := store.leases[id]
	if !found {
		return 0
	}
	current.expiresAt = time.Now().Add(current.ttl)
	return current.ttl
}

func (store *Store) watch(key string, from int64) *watcher {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	added := &watcher{key: key, events: make(chan kvservice.WatchResult, 64)}
	store.watchers[added] = true
	added.send(kvservice.WatchResult{Header: kvservice.ResponseHeader{Revision: store.revision}})
	if pair, found := store.pairs[key]; found && from > 0 && pair.ModRevision >= from {
		added.send(kvservice.WatchResult{Events: []kvservice.WatchEvent{{Type: "PUT", Kv: pair}}})
	}
	return added
}

func (store *Store) unwatch(removed *watcher) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delete(store.watchers, removed)
}
