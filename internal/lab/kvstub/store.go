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
	life    time.Duration
	expires time.Time
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
	for id, held := range store.leases {
		if now.Before(held.expires) {
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
	answer := kvservice.RangeResponse{Header: kvservice.ResponseHeader{Revision: store.revision}}
	if len(request.RangeEnd) == 0 {
		if pair, found := store.pairs[string(request.Key)]; found {
			answer.Kvs = append(answer.Kvs, pair)
		}
		return answer
	}
	for key, pair := range store.pairs {
		if key >= string(request.Key) && key < string(request.RangeEnd) {
			answer.Kvs = append(answer.Kvs, pair)
		}
	}
	sort.Slice(answer.Kvs, func(i, j int) bool { return string(answer.Kvs[i].Key) < string(answer.Kvs[j].Key) })
	return answer
}

// Commit executes a transaction.
func (store *Store) Commit(request kvservice.TxnRequest) kvservice.TxnResponse {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire(time.Now())
	for _, condition := range request.Compare {
		if !store.holds(condition) {
			return kvservice.TxnResponse{Header: kvservice.ResponseHeader{Revision: store.revision}}
		}
	}
	store.revision++
	for _, operation := range request.Success {
		store.apply(operation)
	}
	return kvservice.TxnResponse{Header: kvservice.ResponseHeader{Revision: store.revision}, Succeeded: true}
}

func (store *Store) holds(condition kvservice.Compare) bool {
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
			watcher.offer(kvservice.WatchResult{
				Header: kvservice.ResponseHeader{Revision: store.revision},
				Events: []kvservice.WatchEvent{{Type: "PUT", Kv: pair}},
			})
		}
	}
}

// send drops the result if the watcher's buffer is full, so that a slow watcher never
// blocks the store.
func (watcher *watcher) offer(result kvservice.WatchResult) {
	select {
	case watcher.events <- result:
	default:
	}
}

func (store *Store) grant(life time.Duration) int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.leases[store.revision] = &lease{life: life, expires: time.Now().Add(life)}
	return store.revision
}

func (store *Store) keepAlive(id int64) time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire(time.Now())
	held, found := store.leases[id]
	if !found {
		return 0
	}
	held.expires = time.Now().Add(held.life)
	return held.life
}

func (store *Store) watch(key string, from int64) *watcher {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	opened := &watcher{key: key, events: make(chan kvservice.WatchResult, 64)}
	store.watchers[opened] = true
	opened.offer(kvservice.WatchResult{Header: kvservice.ResponseHeader{Revision: store.revision}})
	if pair, found := store.pairs[key]; found && from > 0 && pair.ModRevision >= from {
		opened.offer(kvservice.WatchResult{Events: []kvservice.WatchEvent{{Type: "PUT", Kv: pair}}})
	}
	return opened
}

func (store *Store) unwatch(closed *watcher) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delete(store.watchers, closed)
}
