package etcd

// The messages of the etcd v3 API in their JSON form, limited to the fields that
// this project uses. Keys and values are base64-encoded, 64-bit numbers are strings
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).

// ResponseHeader is the common header of responses.
type ResponseHeader struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a stored key-value pair with its revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or only Key if RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	KVs    []KeyValue     `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction on the revision of a key.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes the operations in Success if all conditions in Compare are
// met.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    ResponseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
}

// LeaseGrantRequest requests a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header ResponseHeader `json:"header"`
	ID     int64          `json:"ID,string"`
	TTL    int64          `json:"TTL,string"`
}

// LeaseKeepAliveRequest extends a lease.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAlive is the state of a lease after a keep-alive. TTL is the remaining
// time in seconds, 0 if the lease has expired.
type LeaseKeepAlive struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseKeepAliveResponse answers a LeaseKeepAliveRequest.
type LeaseKeepAliveResponse struct {
	Result LeaseKeepAlive `json:"result"`
}

// LeaseRevokeRequest revokes a lease.
type LeaseRevokeRequest struct {
	ID int64 `json:"ID,string"`
}

// WatchCreateRequest subscribes to changes of the keys in [Key, RangeEnd).
type WatchCreateRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest WatchCreateRequest `json:"create_request"`
}

// Event is a change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is a batch of events of a watch.
type WatchResult struct {
	Header ResponseHeader `json:"header"`
	Events []Event        `json:"events,omitempty"`
}

// WatchResponse is one JSON message of the watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}
