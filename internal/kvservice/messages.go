package kvservice

// Messages of the key-value service's JSON mapping, which encodes byte fields as
// base64 and 64-bit integers as decimal strings.

// RangeRequest reads one key, or all keys in [Key, RangeEnd).
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// ResponseHeader carries the store's revision.
type ResponseHeader struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one stored key-value pair.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	Kvs    []KeyValue     `json:"kvs,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
}

// PutRequest stores one key-value pair.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the operations in Success if every comparison holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    ResponseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

// LeaseGrantRequest creates a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse identifies the lease.
type LeaseGrantResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// LeaseKeepAliveRequest renews a lease.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResponse holds the lease's remaining TTL; 0 means that it
// expired.
type LeaseKeepAliveResponse struct {
	Result LeaseGrantResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest selects the key to watch and the first revision to report.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult carries events. The first message, which confirms the watch, has
// none.
type WatchResult struct {
	Header ResponseHeader `json:"header"`
	Events []WatchEvent   `json:"events,omitempty"`
}

// WatchEvent is one change of a watched key.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// ErrorResponse is the body of a response that rejects a request.
type ErrorResponse struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}
