// Package etcd speaks to the platform's key-value service through the
// JSON form of the etcd v3 API over HTTP.
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

// callTimeout bounds one call that is not a watch.
const callTimeout = 2 * time.Second

// Client is a bramleyfall.KeyValueStore.
type Client struct {
	base  string
	http  *http.Client
	calls func(path string)
}

var _ bramleyfall.KeyValueStore = (*Client)(nil)

// Option sets an option of a Client.
type Option func(*Client)

// WithCallCount calls count with the path of each call.
func WithCallCount(count func(path string)) Option { return func(p *Client) { p.calls = count } }

// New returns a client of the service at base, such as "http://127.0.0.1:2379".
func New(base string, options ...Option) *Client {
	c := &Client{base: base, http: &http.Client{}, calls: func(string) {}}
	for _, o := range options {
		o(c)
	}
	return c
}

// errRefused tells that the service answered with an error, so that a write
// has not taken effect.
var errRefused = errors.New("the platform refused the call")

func (c *Client) call(ctx context.Context, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(body).Decode(reply); err != nil {
		return bramleyfall.Errorf(bramleyfall.PlatformAway, "platform %s: %v", path, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	c.calls(path)
	data, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return nil, bramleyfall.Errorf(bramleyfall.PlatformAway, "platform %s: %v", path, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Mark(bramleyfall.Errorf(bramleyfall.PlatformAway, "platform %s: %s", path, response.Status), errRefused)
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
		pairs[i] = kv.pair()
	}
	return pairs, bramleyfall.Revision(reply.Header.Revision), nil
}

func (kv *KeyValue) pair() bramleyfall.KeyValue {
	return bramleyfall.KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

// Commit implements bramleyfall.KeyValueStore.
func (c *Client) Commit(ctx context.Context, txn bramleyfall.Txn) (bool, error) {
	var reply TxnResponse
	err := c.call(ctx, "/v3/kv/txn", txnRequest(txn), &reply)
	if err == nil {
		return reply.Succeeded, nil
	}
	if errors.Is(err, errRefused) {
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
			return bramleyfall.Errorf(bramleyfall.PlatformAway, "platform watch: %v", err)
		}
		for _, e := range reply.Result.Events {
			pair := e.KV.pair()
			pair.Deleted = e.Type == "DELETE"
			notify(pair)
		}
	}
}

// PrefixEnd returns the key that follows all keys with the prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	end[len(end)-1]++
	return string(end)
}
