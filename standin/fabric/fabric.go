// Package fabric stands in for the fabric: it sprays each packet of the callers
// over the live balancers and carries the answers back. It learns late that a
// balancer is dead, and can add delay, loss and silence.
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
	// learnEvery is the time between two looks at the balancers' readiness.
	learnEvery = 500 * time.Millisecond
	// learnMisses is the number of failed looks after which a balancer is dead.
	learnMisses = 2
)

// Balancer is a balancer that packets are sprayed over.
type Balancer struct {
	Packets bramleyfall.Endpoint
	// Ready is the URL of its readiness endpoint.
	Ready string
}

// Direction selects the packets of a silent flow that are lost.
type Direction string

// The directions of silence.
const (
	ToService Direction = "request"
	ToCaller  Direction = "answer"
	BothWays  Direction = "both"
)

// Config holds the settings of a Fabric.
type Config struct {
	Callers   bramleyfall.Endpoint
	Inside    bramleyfall.Endpoint
	Balancers []Balancer
	// Delay is added to each packet, Jitter at random on top of it.
	Delay, Jitter time.Duration
	// Loss is the share of packets that are lost.
	Loss float64
	Seed uint64
}

// Fabric is a running fabric.
type Fabric struct {
	config  Config
	callers *geneve.Conn
	inside  *geneve.Conn

	mu     sync.Mutex
	random *rand.Rand
	live   []bramleyfall.Endpoint
	hosts  map[[4]byte]bramleyfall.Endpoint
	flows  map[bramleyfall.Flow]bool
	silent map[bramleyfall.Flow]Direction
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
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		hosts:  make(map[[4]byte]bramleyfall.Endpoint),
		flows:  make(map[bramleyfall.Flow]bool),
		silent: make(map[bramleyfall.Flow]Direction),
	}, nil
}

// Run carries packets until ctx ends.
func (f *Fabric) Run(ctx context.Context) {
	go f.loopLearn(ctx)
	go f.loopRead(f.callers, f.fromCaller)
	go f.loopRead(f.inside, f.fromInside)
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

func (f *Fabric) fromCaller(m *geneve.Message, data []byte, from bramleyfall.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := m.Packet.Flow
	f.hosts[flow.Source.IP] = from
	f.flows[flow] = true
	if d := f.silent[flow]; d == ToService || d == BothWays || len(f.live) == 0 {
		return
	}
	f.carry(f.inside, data, f.live[f.random.IntN(len(f.live))])
}

func (f *Fabric) fromInside(m *geneve.Message, data []byte, _ bramleyfall.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := m.Packet.Flow.Reverse()
	if d := f.silent[flow]; d == ToCaller || d == BothWays {
		return
	}
	if to, ok := f.hosts[flow.Source.IP]; ok {
		f.carry(f.callers, data, to)
	}
}

func (f *Fabric) carry(conn *geneve.Conn, data []byte, to bramleyfall.Endpoint) {
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

// loopLearn finds out which balancers are ready.
func (f *Fabric) loopLearn(ctx context.Context) {
	misses := make([]int, len(f.config.Balancers))
	for i := range misses {
		misses[i] = learnMisses
	}
	client := &http.Client{Timeout: learnEvery}
	for ctx.Err() == nil {
		var live []bramleyfall.Endpoint
		for i, b := range f.config.Balancers {
			misses[i]++
			if ready(client, b.Ready) {
				misses[i] = 0
			}
			if misses[i] < learnMisses {
				live = append(live, b.Packets)
			}
		}
		f.mu.Lock()
		f.live = live
		f.mu.Unlock()
		time.Sleep(learnEvery)
	}
}

func ready(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Silence makes all known flows to a service address silent in a direction and
// returns their number.
func (f *Fabric) Silence(destination bramleyfall.Endpoint, d Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for flow := range f.flows {
		if flow.Destination == destination && f.silent[flow] == "" {
			f.silent[flow] = d
			n++
		}
	}
	return n
}

// Handler returns the switches of the fabric.
func (f *Fabric) Handler(relays *Relays) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/silence", func(w http.ResponseWriter, r *http.Request) {
		destination, err := bramleyfall.ParseEndpoint(r.URL.Query().Get("destination"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Silence(destination, Direction(r.URL.Query().Get("direction")))
	})
	mux.HandleFunc("POST /standin/cut", func(_ http.ResponseWriter, r *http.Request) {
		relays.Cut(r.URL.Query().Get("a"), r.URL.Query().Get("b"))
	})
	mux.HandleFunc("POST /standin/heal", func(http.ResponseWriter, *http.Request) { relays.Heal() })
	return mux
}
