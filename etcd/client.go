// Package etcd stores the configuration and the contacts of balancers in the
// platform's key-value store, through the JSON gateway of the etcd v3 API over
// HTTP. Balancers use it to read and watch the configuration and to register
// themselves, package operator to submit changes. It leaves validating and applying
// changes to those callers.
//
// A configuration revision numbers an accepted change. A modification revision
// (ModRevision) is the store's own revision of a key.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

// callTimeout is the time limit for a call. Watches have none.
const callTimeout = 2 * time.Second

// Client implements bramleyfall.KeyValueStore over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
	observe func(path string)
}

var _ bramleyfall.KeyValueStore = (*Client)(nil)

// Option sets an option of a Client.
type Option func(*Client)

// WithObserver sets a function that is called with the path of each request, for
// instance to count requests.
func WithObserver(observe func(path string)) Option { return func(c *Client) { c.observe = observe } }

// NewClient returns a client of the store at baseURL, such as "http://127.0.0.1:2379".
func NewClient(baseURL string, options ...Option) *Client {
	c := &Client{baseURL: baseURL, http: &http.Client{}, observe: func(string) {}}
	for _, o := range options {
		o(c)
	}
	return c
}

// errNotExecuted marks the error of a call that the store has rejected with an HTTP
// error status without executing it.
var errNotExecuted = errors.New("the store rejected the call with an HTTP error status")

func (c *Client) call(ctx context.Context, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(body).Decode(reply); err != nil {
		return bramleyfall.Errorf(bramleyfall.PlatformAway, "store: %s: %v", path, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	c.observe(path)
	data, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return nil, bramleyfall.Errorf(bramleyfall.PlatformAway, "store: %s: %v", path, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Mark(bramleyfall.Errorf(bramleyfall.PlatformAway, "store: %s: %s", path, response.Status), errNotExecuted)
	}
	return response.Body, nil
}

// Range implements bramleyfall.KeyValueStore.
func (c *Client) Range(ctx context.Context, from, to string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	request := RangeRequest{Key: []byte(from), RangeEnd: []byte(to)}
	var reply RangeResponse
	if err := c.call(ctx, "/v3/kv/range", request, &reply); err != nil {
		return nil, 0, err
	}
	pairs := make([]bramleyfall.KeyValue, len(reply.KVs))
	for i, kv := range reply.KVs {
		pairs[i] = kv.convert()
	}
	return pairs, bramleyfall.Revision(reply.Header.Revision), nil
}

func (kv *KeyValue) convert() bramleyfall.KeyValue {
	return bramleyfall.KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: bramleyfall.LeaseID(kv.Lease)}
}

// Commit implements bramleyfall.KeyValueStore.
func (c *Client) Commit(ctx context.Context, txn bramleyfall.Txn) (bool, error) {
	var reply TxnResponse
	err := c.call(ctx, "/v3/kv/txn", txnRequest(txn), &reply)
	if err == nil {
		return reply.Succeeded, nil
	}
	if errors.Is(err, errNotExecuted) {
		return false, err
	}
	return false, errors.Mark(err, bramleyfall.ErrUnknownOutcome)
}

func txnRequest(txn bramleyfall.Txn) TxnRequest {
	var r TxnRequest
	for _, cond := range txn.Conditions {
		r.Compare = append(r.Compare, Compare{
			Key: []byte(cond.Key), Target: "MOD", Result: "EQUAL", ModRevision: cond.ModRevision,
		})
	}
	for _, w := range txn.Writes {
		if w.Delete {
			r.Success = append(r.Success, RequestOp{DeleteRange: &DeleteRangeRequest{Key: []byte(w.Key)}})
			continue
		}
		r.Success = append(r.Success, RequestOp{Put: &PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: int64(w.Lease)}})
	}
	return r
}

// Grant implements bramleyfall.KeyValueStore.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (bramleyfall.LeaseID, error) {
	var reply LeaseGrantResponse
	err := c.call(ctx, "/v3/lease/grant", LeaseGrantRequest{TTL: int64(ttl.Seconds())}, &reply)
	return bramleyfall.LeaseID(reply.ID), err
}

// KeepAlive implements bramleyfall.KeyValueStore.
func (c *Client) KeepAlive(ctx context.Context, lease bramleyfall.LeaseID) (time.Duration, error) {
	var reply LeaseKeepAliveResponse
	err := c.call(ctx, "/v3/lease/keepalive", LeaseKeepAliveRequest{ID: int64(lease)}, &reply)
	return time.Duration(reply.Result.TTL) * time.Second, err
}

// Watch implements bramleyfall.KeyValueStore.
func (c *Client) Watch(ctx context.Context, prefix string, notify func(bramleyfall.KeyValue)) error {
	request := WatchRequest{CreateRequest: WatchCreateRequest{Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix))}}
	body, err := c.post(ctx, "/v3/watch", request)
	if err != nil {
		return err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		var reply WatchResponse
		if err := decoder.Decode(&reply); err != nil {
			return bramleyfall.Errorf(bramleyfall.PlatformAway, "store: watch: %v", err)
		}
		for _, e := range reply.Result.Events {
			pair := e.KV.convert()
			pair.Deleted = e.Type == "DELETE"
			notify(pair)
		}
	}
}

// PrefixEnd returns the first key after all keys with the prefix, as the exclusive
// end of a range.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	end[len(end)-1]++
	return string(end)
}
