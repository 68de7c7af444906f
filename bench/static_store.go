package main

import (
	"context"
	"encoding/json"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/workload"
)

// staticStore is a store with the announcement of one agent, and a configuration
// source with the route to the service of that agent. Neither ever changes.
type staticStore struct {
	bramleyfall.LongPollStore // only for the methods that a balancer doesn't call
	// address is the packet address of the agent.
	address bramleyfall.Endpoint
}

var (
	_ bramleyfall.LongPollStore       = (*staticStore)(nil)
	_ bramleyfall.ConfigurationSource = (*staticStore)(nil)
)

// benchService is the service of the announced agent.
const benchService bramleyfall.ServiceName = "bench"

// List implements bramleyfall.LongPollStore.
func (s *staticStore) List(_ context.Context, prefix string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	value, err := json.Marshal(bramleyfall.Announcement{
		Instance: "agent", Upstream: "upstream", Boot: 1, Service: benchService, Domain: benchDomain, Packets: s.address, Slots: 1,
	})
	return []bramleyfall.KeyValue{{Key: prefix + "agents/" + string(benchService) + "/" + s.address.String() + "/agent", Value: value, ModRevision: 1}}, 1, err
}

// Await implements bramleyfall.LongPollStore.
func (s *staticStore) Await(ctx context.Context, _ string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	return nil, after, sleep(ctx, wait)
}

// Read implements bramleyfall.ConfigurationSource.
func (s *staticStore) Read(context.Context) (*bramleyfall.Snapshot, error) {
	address := workload.ServiceAddress(0).Endpoint
	return &bramleyfall.Snapshot{
		Revision: 1, Version: 1,
		Routes: map[bramleyfall.Endpoint]*bramleyfall.Route{
			address: {Address: address, Targets: []bramleyfall.Target{{Service: benchService, Weight: 1}}},
		},
	}, nil
}

// Next implements bramleyfall.ConfigurationSource.
func (s *staticStore) Next(ctx context.Context, known *bramleyfall.Snapshot, wait time.Duration) (*bramleyfall.Snapshot, error) {
	return known, sleep(ctx, wait)
}

// sleep waits for the given time or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
