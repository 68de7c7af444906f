// Package upstreams simulates the servers behind the load balancer for tests and
// the demo. An upstream executes orders in slots, streams feeds and serves files;
// it starts cold, sheds load, drains and restarts, and appends each executed order
// to a log from which tests find lost and duplicated orders.
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
	// Listen is the address for tunnelled packets, Agent that of the upstream's
	// agent.
	Listen bramleyfall.Endpoint
	Agent  bramleyfall.Endpoint
	Slots  int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// ColdPeriod is the time after a start until all slots are usable.
	ColdPeriod time.Duration
	// ExecutionTime is the time that an order occupies a slot.
	ExecutionTime time.Duration
	// ExecutionLog is the file to which each order is appended when it is executed.
	ExecutionLog string
}

const feedInterval = 200 * time.Millisecond

// Counts holds the totals that GET /standin/counts returns as JSON.
type Counts struct {
	Orders       int
	WrongService int
	Shed         int
	// ColdFailures counts the requests that failed because a cold upstream had
	// more than two active requests per usable slot.
	ColdFailures int
	Feeds        int
	Files        int
}

// Upstream is a running upstream.
type Upstream struct {
	config       Config
	conn         *geneve.Conn
	stack        *tcp.Stack
	executionLog *os.File

	mu             sync.Mutex
	bootTime       time.Time
	draining       bool
	activeRequests int
	// reportedLoad is the load that GET /load returns next.
	reportedLoad int
	counts       Counts
}

// New opens the tunnel socket and the execution log of an upstream.
func New(config Config) (*Upstream, error) {
	conn, err := geneve.Listen(config.Listen)
	if err != nil {
		return nil, err
	}
	executionLog, err := os.OpenFile(config.ExecutionLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	u := &Upstream{config: config, conn: conn, executionLog: executionLog, bootTime: time.Now()}
	u.stack = tcp.NewStack(u.sendPacket, tcp.WithListener(u.acceptsConnection, func(c *tcp.Conn) { go u.serve(c) }))
	return u, nil
}

func (u *Upstream) sendPacket(raw []byte) {
	var codec geneve.Codec
	buffer := gopacket.NewSerializeBuffer()
	if codec.EncodePlain(buffer, raw) == nil {
		_ = u.conn.WriteTo(buffer.Bytes(), u.config.Agent)
	}
}

// acceptsConnection reports whether the maximum number of connections is not
// reached. The stack holds its lock during the call.
func (u *Upstream) acceptsConnection(bramleyfall.Flow) bool {
	return u.stack.CountEstablishedLocked() < u.config.MaxConnections
}

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

// serve handles the requests of a connection. A request is a line of words: its
// kind, an id and the service. The fourth word of an order, if any, is the time in
// milliseconds within which it must start. An order can be cancelled until it
// starts.
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
			u.recordWrongService(words)
		}
		switch words[0] {
		case "ORDER":
			deadline := parseDeadline(words)
			orders.Go(func() { u.serveOrder(c, words[1], deadline, cancelled) })
		case "CANCEL":
			cancelled.add(words[1])
		case "FEED":
			u.serveFeed(c)
			return
		case "FILE":
			u.serveFile(c, words[1])
		}
	}
}

// recordWrongService records a request for a service that the upstream doesn't
// provide.
func (u *Upstream) recordWrongService(words []string) {
	u.mu.Lock()
	u.counts.WrongService++
	u.mu.Unlock()
	u.appendToExecutionLog("WRONG", words[1])
}

func (u *Upstream) appendToExecutionLog(kind, id string) {
	_, _ = fmt.Fprintf(u.executionLog, "%s %s %s\n", kind, id, u.config.ID)
}

// usableSlots returns the number of slots that are usable now. In a cold upstream
// it grows linearly from one to all slots during ColdPeriod.
func (u *Upstream) usableSlots() int {
	if u.config.ColdPeriod == 0 {
		return u.config.Slots
	}
	n := int(float64(u.config.Slots) * float64(time.Since(u.bootTime)) / float64(u.config.ColdPeriod))
	return max(1, min(n, u.config.Slots))
}

// beginRequest counts a request as active, or returns the word of the response
// that rejects it: FAILED if a cold upstream has more than two active requests per
// usable slot, SHED if there are more than maxRequestsPerSlot.
func (u *Upstream) beginRequest() string {
	const maxRequestsPerSlot = 4
	u.mu.Lock()
	defer u.mu.Unlock()
	u.activeRequests++
	usable := u.usableSlots()
	if usable < u.config.Slots && u.activeRequests > 2*usable {
		u.activeRequests--
		u.counts.ColdFailures++
		fmt.Printf("ColdFailure Time=%s Age=%s Running=%d Usable=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), time.Since(u.bootTime), u.activeRequests, usable)
		return "FAILED"
	}
	if u.activeRequests > maxRequestsPerSlot*u.config.Slots {
		u.activeRequests--
		u.counts.Shed++
		return "SHED"
	}
	return ""
}

func (u *Upstream) endRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.activeRequests--
}

// cancellations holds the ids of the cancelled orders of a connection.
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

// parseDeadline returns the time by which an order must start.
func parseDeadline(words []string) time.Time {
	const defaultTimeout = time.Hour
	if len(words) > 3 {
		if n, err := strconv.Atoi(words[3]); err == nil {
			return time.Now().Add(time.Duration(n) * time.Millisecond)
		}
	}
	return time.Now().Add(defaultTimeout)
}

// serveOrder executes an order. If the order is rejected, or was cancelled or passed its
// deadline before it started, the response says that it was not executed.
func (u *Upstream) serveOrder(c *tcp.Conn, id string, deadline time.Time, cancelled *cancellations) {
	refusal := u.beginRequest()
	if refusal != "" {
		_, _ = fmt.Fprintf(c, "%s %s\n", refusal, id)
		return
	}
	defer u.endRequest()
	switch {
	case cancelled.has(id):
		_, _ = fmt.Fprintf(c, "CANCELLED %s\n", id)
		return
	case time.Now().After(deadline):
		_, _ = fmt.Fprintf(c, "EXPIRED %s\n", id)
		return
	}
	u.appendToExecutionLog("RUN", id)
	time.Sleep(u.config.ExecutionTime)
	u.mu.Lock()
	u.counts.Orders++
	u.mu.Unlock()
	_, _ = fmt.Fprintf(c, "DONE %s %s\n", id, u.config.Service)
}

func (u *Upstream) serveFeed(c *tcp.Conn) {
	u.mu.Lock()
	u.counts.Feeds++
	u.mu.Unlock()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "TICK %d %s\n", n, u.config.Service); err != nil {
			return
		}
		time.Sleep(feedInterval)
	}
}

func (u *Upstream) serveFile(c *tcp.Conn, id string) {
	const size = 16 * 1024
	if refusal := u.beginRequest(); refusal != "" {
		_, _ = fmt.Fprintf(c, "%s %s\n", refusal, id)
		return
	}
	defer u.endRequest()
	u.mu.Lock()
	u.counts.Files++
	u.mu.Unlock()
	_, _ = fmt.Fprintf(c, "FILE %s %s\n%s\n", id, u.config.Service, strings.Repeat("x", size))
}

// restart drops all connections and starts cold with a new boot id.
func (u *Upstream) restart() {
	u.stack.DropConnections()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bootTime = time.Now()
	u.draining = false
}

// Handler returns the handler of the health and load endpoints and of the
// fault-injection API under /standin/.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		// Reports ready even while the upstream is cold.
		_ = json.NewEncoder(w).Encode(struct {
			Boot     int64
			Draining bool
			Ready    bool
		}{u.bootTime.UnixNano(), u.draining, true})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		// Reports a stale load: that of the previous request.
		_ = json.NewEncoder(w).Encode(struct{ Running int }{u.reportedLoad})
		u.reportedLoad = u.activeRequests
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
