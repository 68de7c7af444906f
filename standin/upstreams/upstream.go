// Package upstreams stands in for the servers behind the balancer. An upstream
// runs orders in slots, streams feeds and serves files; it starts cold, sheds,
// drains and restarts, and writes every order that it ran into a ledger.
package upstreams

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/standin/tcp"
	"github.com/gopacket/gopacket"
)

// Config holds the settings of an Upstream.
type Config struct {
	ID      string
	Service string
	Listen  bramleyfall.Endpoint
	Agent   bramleyfall.Endpoint
	Slots   int
	// Connections is the greatest number of open connections.
	Connections int
	// Cold is the time from a start until all slots are usable.
	Cold time.Duration
	// Work is the time that one order takes in a slot.
	Work time.Duration
	// Ledger is the file that orders are written to when they run.
	Ledger string
}

// feedEvery is the time between two messages of a feed.
const feedEvery = 200 * time.Millisecond

// Counts are what an upstream has seen.
type Counts struct {
	Orders       int
	WrongService int
	Shed         int
	// ColdFailures counts requests that failed because a cold upstream was
	// pushed.
	ColdFailures int
	Feeds        int
	Files        int
}

// Upstream is a running upstream.
type Upstream struct {
	config Config
	conn   *geneve.Conn
	stack  *tcp.Stack
	ledger *os.File

	mu       sync.Mutex
	boot     time.Time
	draining bool
	running  int
	// shown is the load that the load endpoint shows next.
	shown  int
	counts Counts
}

// New opens the socket and the ledger of an upstream.
func New(config Config) (*Upstream, error) {
	conn, err := geneve.Listen(config.Listen)
	if err != nil {
		return nil, err
	}
	ledger, err := os.OpenFile(config.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	u := &Upstream{config: config, conn: conn, ledger: ledger, boot: time.Now()}
	u.stack = tcp.NewStack(u.output, tcp.WithListener(u.admit, func(c *tcp.Conn) { go u.serve(c) }))
	return u, nil
}

func (u *Upstream) output(raw []byte) {
	var codec geneve.Codec
	buffer := gopacket.NewSerializeBuffer()
	if codec.EncodePlain(buffer, raw) == nil {
		_ = u.conn.WriteTo(buffer.Bytes(), u.config.Agent)
	}
}

// admit resets openings beyond the connections that the upstream holds.
func (u *Upstream) admit(bramleyfall.Flow) bool { return u.stack.CountLocked() < u.config.Connections }

// Run serves until ctx ends.
func (u *Upstream) Run(ctx context.Context) {
	go u.stack.Run(ctx)
	go u.loopRead()
	<-ctx.Done()
	_ = u.conn.Close()
}

func (u *Upstream) loopRead() {
	receiver := geneve.NewReceiver()
	var codec geneve.Codec
	var m geneve.Message
	for {
		n, err := receiver.Read(u.conn)
		if err != nil {
			return
		}
		for i := range n {
			if codec.Decode(receiver.Data(i), &m) == nil && m.Notice == nil {
				u.stack.Input(&m.Packet, bramleyfall.OK, 0)
			}
		}
	}
}

// serve answers the requests of one connection: lines of words. An order may
// name a deadline in milliseconds and may be cancelled while it waits or runs.
func (u *Upstream) serve(c *tcp.Conn) {
	defer func() { _ = c.Close() }()
	var orders sync.WaitGroup
	defer orders.Wait()
	cancelled := &cancellations{}
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) < 3 {
			return
		}
		if words[2] != u.config.Service {
			u.wrong(words)
		}
		switch words[0] {
		case "ORDER":
			deadline := deadlineOf(words)
			orders.Go(func() { u.order(c, words[1], deadline, cancelled) })
		case "CANCEL":
			cancelled.add(words[1])
		case "FEED":
			u.feed(c)
			return
		case "FILE":
			u.file(c, words[1])
		}
	}
}

func (u *Upstream) wrong(words []string) {
	u.mu.Lock()
	u.counts.WrongService++
	u.mu.Unlock()
	u.write("WRONG", words[1])
}

func (u *Upstream) write(kind, id string) {
	_, _ = fmt.Fprintf(u.ledger, "%s %s %s\n", kind, id, u.config.ID)
}

// usable returns the number of slots that a cold upstream can use now.
func (u *Upstream) usable() int {
	if u.config.Cold == 0 {
		return u.config.Slots
	}
	n := int(float64(u.config.Slots) * float64(time.Since(u.boot)) / float64(u.config.Cold))
	return max(1, min(n, u.config.Slots))
}

// enter takes a slot. Too many waiting requests are shed; a cold upstream that
// is pushed fails them.
func (u *Upstream) enter() string {
	const queuePerSlot = 4
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	usable := u.usable()
	if usable < u.config.Slots && u.running > 2*usable {
		u.running--
		u.counts.ColdFailures++
		fmt.Printf("ColdFailure Time=%s Age=%s Running=%d Usable=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), time.Since(u.boot), u.running, usable)
		return "FAILED"
	}
	if u.running > queuePerSlot*u.config.Slots {
		u.running--
		u.counts.Shed++
		return "SHED"
	}
	return ""
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// cancellations are the orders of a connection that were cancelled.
type cancellations struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (c *cancellations) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids == nil {
		c.ids = make(map[string]bool)
	}
	c.ids[id] = true
}

func (c *cancellations) has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[id]
}

// deadlineOf returns the time until which an order may start to run.
func deadlineOf(words []string) time.Time {
	const far = time.Hour
	if len(words) > 3 {
		if n, err := strconv.Atoi(words[3]); err == nil {
			return time.Now().Add(time.Duration(n) * time.Millisecond)
		}
	}
	return time.Now().Add(far)
}

// order runs an order, unless it was cancelled or its deadline passed before it
// could start: then it is answered at once as not run.
func (u *Upstream) order(c *tcp.Conn, id string, deadline time.Time, cancelled *cancellations) {
	refusal := u.enter()
	if refusal != "" {
		_, _ = fmt.Fprintf(c, "%s %s\n", refusal, id)
		return
	}
	defer u.leave()
	switch {
	case cancelled.has(id):
		_, _ = fmt.Fprintf(c, "CANCELLED %s\n", id)
		return
	case time.Now().After(deadline):
		_, _ = fmt.Fprintf(c, "EXPIRED %s\n", id)
		return
	}
	u.write("RUN", id)
	time.Sleep(u.config.Work)
	u.mu.Lock()
	u.counts.Orders++
	u.mu.Unlock()
	_, _ = fmt.Fprintf(c, "DONE %s %s\n", id, u.config.Service)
}

func (u *Upstream) feed(c *tcp.Conn) {
	u.mu.Lock()
	u.counts.Feeds++
	u.mu.Unlock()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "TICK %d %s\n", n, u.config.Service); err != nil {
			return
		}
		time.Sleep(feedEvery)
	}
}

func (u *Upstream) file(c *tcp.Conn, id string) {
	const size = 16 * 1024
	if refusal := u.enter(); refusal != "" {
		_, _ = fmt.Fprintf(c, "%s %s\n", refusal, id)
		return
	}
	defer u.leave()
	u.mu.Lock()
	u.counts.Files++
	u.mu.Unlock()
	_, _ = fmt.Fprintf(c, "FILE %s %s\n%s\n", id, u.config.Service, strings.Repeat("x", size))
}

// restart forgets all connections and starts cold under a new boot id.
func (u *Upstream) restart() {
	u.stack.Forget()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.boot = time.Now()
	u.draining = false
}

// Handler returns the health and load endpoints and the switches.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		// It says that it is ready however cold it is.
		_ = json.NewEncoder(w).Encode(struct {
			Boot     int64
			Draining bool
			Ready    bool
		}{u.boot.UnixNano(), u.draining, true})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		// It lags: it shows the load of the last time that it was asked.
		_ = json.NewEncoder(w).Encode(struct{ Running int }{u.shown})
		u.shown = u.running
	})
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		_ = json.NewEncoder(w).Encode(u.counts)
	})
	mux.HandleFunc("POST /standin/drain", func(http.ResponseWriter, *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.draining = true
	})
	mux.HandleFunc("POST /standin/restart", func(http.ResponseWriter, *http.Request) { u.restart() })
	return mux
}
