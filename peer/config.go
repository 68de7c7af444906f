package peer

import "time"

// Config holds the settings of a Node.
type Config struct {
	// GossipEvery is the time between two rounds of rumors.
	GossipEvery time.Duration
	// ProbeEvery is the time between two probes of other balancers where there
	// are ten or more.
	ProbeEvery time.Duration
	// ProbeTimeout is the time for an answer to a probe.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time in which a suspect may refute.
	SuspectTimeout time.Duration
	// DigestEvery is the time between two comparisons of whole knowledge.
	DigestEvery time.Duration
	// HeartbeatEvery is the least time between an agent's heartbeats.
	HeartbeatEvery time.Duration
	// HeartbeatBudget is the number of bytes a second that the heartbeats of
	// all watched agents with their answers may take.
	HeartbeatBudget int
	// MissedHeartbeats is the number of heartbeats after which an agent is
	// asked for.
	MissedHeartbeats int
	// Fanout is the number of peers that a round of rumors goes to.
	Fanout int
	// Copies is the number of peers that each balancer sends a rumor to.
	Copies int
	// Watchers is the number of balancers that watch an agent.
	Watchers int
	// OrphanGrace is the time for which the agents of a failure domain without
	// balancers are still routed to, while they look for other watchers.
	OrphanGrace time.Duration
	// KeepDeparted is the time for which lost and left instances are remembered.
	KeepDeparted time.Duration
	// PauseAfter is the time without a tick after which the process is taken
	// to have been paused.
	PauseAfter time.Duration
	// Seed makes the choice of peers repeatable.
	Seed uint64
}

// DefaultConfig returns the settings used where options set no others.
func DefaultConfig() Config {
	return Config{
		GossipEvery:      200 * time.Millisecond,
		ProbeEvery:       1500 * time.Millisecond,
		ProbeTimeout:     400 * time.Millisecond,
		SuspectTimeout:   2 * time.Second,
		DigestEvery:      10 * time.Second,
		HeartbeatEvery:   500 * time.Millisecond,
		HeartbeatBudget:  700,
		MissedHeartbeats: 3,
		Fanout:           3,
		Copies:           6,
		Watchers:         3,
		OrphanGrace:      4 * time.Second,
		KeepDeparted:     2 * time.Hour,
		PauseAfter:       2 * time.Second,
	}
}

// Option sets an option of a Node.
type Option func(*Config)

// WithSeed makes the choice of peers repeatable.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }
