package main

import (
	"context"
	"encoding/json"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/workload"
)

// knownAgent is a store that holds the entry of one agent, and a configuration
// with the route to its service. Neither ever changes.
type knownAgent struct {
	bramleyfall.LongPollStore
	address bramleyfall.Endpoint
}

var (
	_ bramleyfall.LongPollStore       = (*knownAgent)(nil)
	_ bramleyfall.ConfigurationSource = (*knownAgent)(nil)
)

// benchService is the service of the agent.
const benchService bramleyfall.ServiceName = "bench"

// List implements bramleyfall.LongPollStore.
func (k *knownAgent) List(_ context.Context, prefix string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	value, err := json.Marshal(bramleyfall.Announcement{
		Instance: "agent", Upstream: "upstream", Boot: 1, Service: benchService, Domain: benchDomain, Packets: k.address, Slots: 1,
	})
	return []bramleyfall.KeyValue{{Key: prefix + string(benchService) + "/agent", Value: value, ModRevision: 1}}, 1, err
}

// Await implements bramleyfall.LongPollStore.
func (k *knownAgent) Await(ctx context.Context, _ string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	return nil, after, pause(ctx, wait)
}

// Read implements bramleyfall.ConfigurationSource.
func (k *knownAgent) Read(context.Context) (*bramleyfall.Snapshot, error) {
	address := workload.ServiceAddress(0).Endpoint
	return &bramleyfall.Snapshot{
		Revision: 1, Version: 1,
		Routes: map[bramleyfall.Endpoint]*bramleyfall.Route{
			address: {Address: address, Targets: []bramleyfall.Target{{Service: benchService, Weight: 1}}},
		},
	}, nil
}

// Next implements bramleyfall.ConfigurationSource.
func (k *knownAgent) Next(ctx context.Context, known *bramleyfall.Snapshot, wait time.Duration) (*bramleyfall.Snapshot, error) {
	return known, pause(ctx, wait)
}

func pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
