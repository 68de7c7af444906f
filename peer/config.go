package peer

import "time"

// Config holds the settings of a Node.
type Config struct {
	// GossipInterval is the time between two gossip rounds.
	GossipInterval time.Duration
	// ProbeInterval is the time between two probes of other balancers if there
	// are at least ten others. With fewer, it is shortened in proportion, but
	// to no less than three tenths.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for the acknowledgement of a direct
	// probe before indirect probes are sent. An indirect probe has twice that
	// time.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time after which a suspected balancer is declared
	// lost unless it acknowledges a probe.
	SuspectTimeout time.Duration
	// DigestInterval is the time between two anti-entropy comparisons of the
	// membership.
	DigestInterval time.Duration
	// MinHeartbeatInterval is the minimum time between the heartbeats of an
	// agent to its primary monitor.
	MinHeartbeatInterval time.Duration
	// HeartbeatBudget is the number of bytes per second that the heartbeats of
	// all monitored agents and their acknowledgements may use.
	HeartbeatBudget int
	// MissedHeartbeats is the number of consecutive missed heartbeats after
	// which an agent is probed.
	MissedHeartbeats int
	// Fanout is the number of peers that each gossip round sends to.
	Fanout int
	// TransmitLimit is the number of transmissions after which a balancer stops
	// gossiping an update.
	TransmitLimit int
	// Monitors is the number of balancers that monitor an agent.
	Monitors int
	// OrphanGracePeriod is the time for which the agents of a failure domain
	// without live balancers remain routable. In this time they look for
	// monitors in other failure domains.
	OrphanGracePeriod time.Duration
	// DepartedRetention is the time for which the records of lost and left
	// instances are kept.
	DepartedRetention time.Duration
	// PauseThreshold is the time between two ticks above which the process is
	// assumed to have been paused.
	PauseThreshold time.Duration
	// Seed seeds the random choices, such as the choice of peers. The same seed
	// gives the same choices.
	Seed uint64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		GossipInterval:       200 * time.Millisecond,
		ProbeInterval:        1500 * time.Millisecond,
		ProbeTimeout:         400 * time.Millisecond,
		SuspectTimeout:       2 * time.Second,
		DigestInterval:       10 * time.Second,
		MinHeartbeatInterval: 500 * time.Millisecond,
		HeartbeatBudget:      700,
		MissedHeartbeats:     3,
		Fanout:               3,
		TransmitLimit:        6,
		Monitors:             3,
		OrphanGracePeriod:    4 * time.Second,
		DepartedRetention:    2 * time.Hour,
		PauseThreshold:       2 * time.Second,
	}
}

// Option changes a setting of a Node.
type Option func(*Config)

// WithSeed sets the seed of the random choices, such as the choice of peers.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }
