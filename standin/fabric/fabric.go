// Package fabric simulates the network fabric for tests and the demo. It sends each
// packet from a caller to a random ready balancer and returns packets to the callers.
// It notices a dead balancer only after failed readiness checks, and can delay and
// drop packets, drop the packets of chosen flows and partition instances.
package fabric

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
)

const (
	// readinessInterval is the time between two readiness checks of the balancers.
	readinessInterval = 500 * time.Millisecond
	// maxReadinessFailures is the number of consecutive failed checks after which a
	// balancer gets no more packets.
	maxReadinessFailures = 2
)

// Balancer is a balancer that receives callers' packets.
type Balancer struct {
	// Packets is the address for tunnelled packets.
	Packets bramleyfall.Endpoint
	// ReadyURL is the URL of the readiness endpoint.
	ReadyURL string
}

// Direction selects which packets of a flow are dropped.
type Direction string

// Directions of dropped packets.
const (
	ToService Direction = "request"
	ToCaller  Direction = "answer"
	BothWays  Direction = "both"
)

// Config holds the settings of a Fabric.
type Config struct {
	// Callers is the address for packets from callers, Inside for packets from
	// agents and balancers.
	Callers   bramleyfall.Endpoint
	Inside    bramleyfall.Endpoint
	Balancers []Balancer
	// Delay is added to each packet, and a random time below Jitter.
	Delay, Jitter time.Duration
	// Loss is the fraction of packets that are dropped.
	Loss float64
	Seed uint64
}

// Fabric is a running fabric.
type Fabric struct {
	config  Config
	callers *geneve.Conn
	inside  *geneve.Conn

	mu             sync.Mutex
	random         *rand.Rand
	readyBalancers []bramleyfall.Endpoint
	// callerHosts maps the IP address of a caller to its endpoint outside the tunnel.
	callerHosts map[[4]byte]bramleyfall.Endpoint
	// flows holds all flows of which a packet came from a caller.
	flows        map[bramleyfall.Flow]bool
	droppedFlows map[bramleyfall.Flow]Direction
}

// New opens the sockets of a fabric.
func New(config Config) (*Fabric, error) {
	callers, err := geneve.Listen(config.Callers)
	if err != nil {
		return nil, err
	}
	inside, err := geneve.Listen(config.Inside)
	if err != nil {
		return nil, err
	}
	return &Fabric{
		config: config, callers: callers, inside: inside,
		random:       rand.New(rand.NewPCG(config.Seed, 1)),
		callerHosts:  make(map[[4]byte]bramleyfall.Endpoint),
		flows:        make(map[bramleyfall.Flow]bool),
		droppedFlows: make(map[bramleyfall.Flow]Direction),
	}, nil
}

// Run forwards packets until ctx ends.
func (f *Fabric) Run(ctx context.Context) {
	go f.loopCheckReadiness(ctx)
	go f.loopRead(f.callers, f.forwardFromCaller)
	go f.loopRead(f.inside, f.forwardFromInside)
	<-ctx.Done()
	_ = f.callers.Close()
	_ = f.inside.Close()
}

func (f *Fabric) loopRead(conn *geneve.Conn, handle func(*geneve.Message, []byte, bramleyfall.Endpoint)) {
	receiver := geneve.NewReceiver()
	var codec geneve.Codec
	var m geneve.Message
	for {
		n, err := receiver.Read(conn)
		if err != nil {
			return
		}
		for i := range n {
			data := append([]byte(nil), receiver.Data(i)...)
			if codec.Decode(data, &m) == nil && m.Notice == nil {
				handle(&m, data, receiver.From(i))
			}
		}
	}
}

func (f *Fabric) forwardFromCaller(m *geneve.Message, data []byte, from bramleyfall.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := m.Packet.Flow
	f.callerHosts[flow.Source.IP] = from
	f.flows[flow] = true
	if d := f.droppedFlows[flow]; d == ToService || d == BothWays || len(f.readyBalancers) == 0 {
		return
	}
	f.send(f.inside, data, f.readyBalancers[f.random.IntN(len(f.readyBalancers))])
}

func (f *Fabric) forwardFromInside(m *geneve.Message, data []byte, _ bramleyfall.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := m.Packet.Flow.Reverse()
	if d := f.droppedFlows[flow]; d == ToCaller || d == BothWays {
		return
	}
	if to, ok := f.callerHosts[flow.Source.IP]; ok {
		f.send(f.callers, data, to)
	}
}

// send sends a packet with the configured loss and delay.
func (f *Fabric) send(conn *geneve.Conn, data []byte, to bramleyfall.Endpoint) {
	if f.config.Loss > 0 && f.random.Float64() < f.config.Loss {
		return
	}
	delay := f.config.Delay
	if f.config.Jitter > 0 {
		delay += time.Duration(f.random.Int64N(int64(f.config.Jitter)))
	}
	if delay == 0 {
		_ = conn.WriteTo(data, to)
		return
	}
	time.AfterFunc(delay, func() { _ = conn.WriteTo(data, to) })
}

// loopCheckReadiness updates the list of ready balancers.
func (f *Fabric) loopCheckReadiness(ctx context.Context) {
	failures := make([]int, len(f.config.Balancers))
	for i := range failures {
		failures[i] = maxReadinessFailures
	}
	client := &http.Client{Timeout: readinessInterval}
	for ctx.Err() == nil {
		var readyBalancers []bramleyfall.Endpoint
		for i, b := range f.config.Balancers {
			failures[i]++
			if isReady(client, b.ReadyURL) {
				failures[i] = 0
			}
			if failures[i] < maxReadinessFailures {
				readyBalancers = append(readyBalancers, b.Packets)
			}
		}
		f.mu.Lock()
		f.readyBalancers = readyBalancers
		f.mu.Unlock()
		time.Sleep(readinessInterval)
	}
}

func isReady(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// DropFlows drops the packets of all known flows to a service address in the given
// direction, and returns the number of flows. It applies neither to new flows nor to
// flows whose packets are already dropped.
func (f *Fabric) DropFlows(destination bramleyfall.Endpoint, d Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for flow := range f.flows {
		if flow.Destination == destination && f.droppedFlows[flow] == "" {
			f.droppedFlows[flow] = d
			n++
		}
	}
	return n
}

// Handler returns the handler of the fault-injection API.
func (f *Fabric) Handler(relays *Relays) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/silence", func(w http.ResponseWriter, r *http.Request) {
		destination, err := bramleyfall.ParseEndpoint(r.URL.Query().Get("destination"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.DropFlows(destination, Direction(r.URL.Query().Get("direction")))
	})
	mux.HandleFunc("POST /standin/cut", func(_ http.ResponseWriter, r *http.Request) {
		relays.Cut(r.URL.Query().Get("a"), r.URL.Query().Get("b"))
	})
	mux.HandleFunc("POST /standin/heal", func(http.ResponseWriter, *http.Request) { relays.Heal() })
	return mux
}
