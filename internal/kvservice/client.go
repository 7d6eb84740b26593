// Package kvservice is a client for the platform's key-value service. It uses
// the JSON mapping of the etcd v3 API over HTTP.
package kvservice

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

// RequestTimeout bounds one call. A call that times out may have taken effect.
const RequestTimeout = 2 * time.Second

// watchTimeout bounds one watch.
const watchTimeout = 10 * time.Minute

// Client calls the key-value service.
type Client struct {
	base       string
	httpClient *http.Client
}

// NewClient returns a client for the service at an IP address and port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, httpClient: outbound.NewClient(RequestTimeout)}
}

// call posts one request and decodes the response into result. If the exchange
// fails, the error is a failure.Failure, whose outcome is failure.NotRun only if
// the service itself rejected the request.
func (client *Client) call(ctx context.Context, path string, body, result any) error {
	request, err := sling.New().Base(client.base).Post(path).BodyJSON(body).Request()
	if err != nil {
		return errors.Trace(err)
	}
	var errorResponse ErrorResponse
	response, err := outbound.DecodeJSON(client.httpClient, request.WithContext(ctx), result, &errorResponse)
	if err != nil {
		return failure.New(failure.KindUnavailable, "the key-value service did not respond: "+err.Error(),
			"check that it is running at "+client.base).WithOutcome(failure.Unknown)
	}
	if response.StatusCode != http.StatusOK {
		return failure.New(failure.KindUnavailable, "the key-value service rejected the request: "+errorResponse.Message,
			"wait until it accepts requests again").WithRetryAfter(time.Second)
	}
	return nil
}

// Get reads one key. For a missing key it returns a KeyValue with ModRevision 0.
func (client *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	var response RangeResponse
	if err := client.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &response); err != nil {
		return KeyValue{}, err
	}
	if len(response.Kvs) == 0 {
		return KeyValue{}, nil
	}
	return response.Kvs[0], nil
}

// List reads all keys with the prefix.
func (client *Client) List(ctx context.Context, prefix string) ([]KeyValue, error) {
	end := []byte(prefix)
	end[len(end)-1]++
	var response RangeResponse
	err := client.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(prefix), RangeEnd: end}, &response)
	return response.Kvs, err
}

// Commit runs a transaction. The response reports whether its comparisons held
// and the revision after it.
func (client *Client) Commit(ctx context.Context, transaction TxnRequest) (TxnResponse, error) {
	var response TxnResponse
	err := client.call(ctx, "/v3/kv/txn", transaction, &response)
	return response, err
}

// GrantLease creates a lease and returns its ID.
func (client *Client) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	var response LeaseGrantResponse
	err := client.call(ctx, "/v3/lease/grant", LeaseGrantRequest{TTL: int64(ttl / time.Second)}, &response)
	return response.ID, err
}

// KeepAlive renews a lease and reports whether it still exists.
func (client *Client) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	var response LeaseKeepAliveResponse
	err := client.call(ctx, "/v3/lease/keepalive", LeaseKeepAliveRequest{ID: lease}, &response)
	return response.Result.TTL > 0, err
}

// Watch calls onChange for each new revision of the key, starting at
// startRevision, until the watch or the context ends, at most for watchTimeout. It does not reconnect:
// callers read the key again and open a new watch.
func (client *Client) Watch(ctx context.Context, key string, startRevision int64, onChange func(KeyValue)) error {
	message := WatchRequest{CreateRequest: WatchCreateRequest{Key: []byte(key), StartRevision: startRevision}}
	request, err := sling.New().Base(client.base).Post("/v3/watch").BodyJSON(message).Request()
	if err != nil {
		return errors.Trace(err)
	}
	response, err := client.httpClient.Do(request.WithContext(outbound.WithTimeout(ctx, watchTimeout)))
	if err != nil {
		return errors.Annotate(err, "cannot open the watch; it will be retried")
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var update WatchResponse
		if err := decoder.Decode(&update); err != nil {
			return errors.Annotate(err, "the watch ended; it will be reopened")
		}
		for _, event := range update.Result.Events {
			onChange(event.Kv)
		}
	}
}

// Put returns the operation that stores a value.
func Put(key string, value []byte) RequestOp {
	return RequestOp{RequestPut: &PutRequest{Key: []byte(key), Value: value}}
}

// Delete returns the operation that deletes a key.
func Delete(key string) RequestOp {
	return RequestOp{RequestDeleteRange: &DeleteRangeRequest{Key: []byte(key)}}
}

// IfModRevision returns the condition that the key was last modified at the
// revision; 0 means that the key does not exist.
func IfModRevision(key string, revision int64) Compare {
	return Compare{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: &revision}
}

// IfAbsent returns the condition that the key does not exist.
func IfAbsent(key string) Compare {
	return Compare{Key: []byte(key), Target: "CREATE", Result: "EQUAL", CreateRevision: new(int64)}
}
