// Package callers simulates callers for tests and the demo: they send orders over
// persistent or short connections, hold feeds open and fetch files over short
// connections. Package tcp provides their connections.
package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gopacket/gopacket"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/standin/tcp"
)

// Target is a service and the address at which callers reach it.
type Target struct {
	Service  string
	Endpoint bramleyfall.Endpoint
}

// Config holds the settings of the callers of one host.
type Config struct {
	// Name is the prefix of the order ids.
	Name   string
	Listen bramleyfall.Endpoint
	Fabric bramleyfall.Endpoint
	// IP is the source address of the callers' packets inside the tunnel.
	IP     [4]byte
	Orders Target
	Feeds  Target
	Files  Target
	// The numbers of callers by kind (flags dealers, shoppers, viewers and
	// fitters). A persistent order caller sends all orders over one connection; a
	// single order caller opens a connection for each order.
	PersistentOrderCallers, SingleOrderCallers, FeedCallers, FileCallers int
	// Pause is the time between two requests of an order caller or a file caller,
	// and the delay before a retry.
	Pause time.Duration
	// Deadline is the maximum time to wait for the response to a request.
	Deadline time.Duration
	Seed     uint64
	// OnAnswered is called with the id of each order that was answered.
	OnAnswered func(id string)
}

// Counts holds the results of the callers' requests. Shed counts the orders and
// files that an upstream rejected without executing them, Refused the refused
// connection attempts, and Failed the attempts that failed otherwise.
type Counts struct {
	OrdersSent, OrdersAnswered, OrdersUnknown, OrdersRefused    atomic.Int64
	FlowsBroken, FeedTicks, FeedGapMillis, FilesFetched         atomic.Int64
	FilesFailed, WrongAnswers, Shed, Failed, Refused, FlowsOpen atomic.Int64
}

// String returns the counts as key=value pairs.
func (c *Counts) String() string {
	return fmt.Sprintf("OrdersSent=%d OrdersAnswered=%d OrdersUnknown=%d FlowsBroken=%d FlowsOpen=%d FeedTicks=%d FeedGapMillis=%d FilesFetched=%d FilesFailed=%d WrongAnswers=%d Refused=%d Shed=%d Failed=%d",
		c.OrdersSent.Load(), c.OrdersAnswered.Load(), c.OrdersUnknown.Load(), c.FlowsBroken.Load(), c.FlowsOpen.Load(),
		c.FeedTicks.Load(), c.FeedGapMillis.Load(), c.FilesFetched.Load(), c.FilesFailed.Load(),
		c.WrongAnswers.Load(), c.Refused.Load(), c.Shed.Load(), c.Failed.Load())
}

// Callers are the callers of one host.
type Callers struct {
	config    Config
	conn      *geneve.Conn
	stack     *tcp.Stack
	lastPort  atomic.Uint32
	lastOrder atomic.Int64
	// Counts holds the results so far.
	Counts Counts
}

// basePort precedes the first source port that callers use.
const basePort = 10000

// New opens the tunnel socket of the callers.
func New(config Config) (*Callers, error) {
	conn, err := geneve.Listen(config.Listen)
	if err != nil {
		return nil, err
	}
	c := &Callers{config: config, conn: conn}
	c.lastPort.Store(basePort)
	c.stack = tcp.NewStack(c.sendPacket, tcp.WithSeed(config.Seed))
	return c, nil
}

func (c *Callers) sendPacket(raw []byte) {
	var codec geneve.Codec
	buffer := gopacket.NewSerializeBuffer()
	if codec.EncodePlain(buffer, raw) == nil {
		_ = c.conn.WriteTo(buffer.Bytes(), c.config.Fabric)
	}
}

// Run sends requests until ctx ends, then waits for the outstanding ones.
func (c *Callers) Run(ctx context.Context) {
	stackContext, stop := context.WithCancel(context.Background())
	defer stop()
	go c.stack.Run(stackContext)
	go c.loopRead()
	var group sync.WaitGroup
	for range c.config.PersistentOrderCallers {
		group.Go(func() { c.runPersistentOrderCaller(ctx) })
	}
	for range c.config.SingleOrderCallers {
		group.Go(func() { c.runSingleOrderCaller(ctx) })
	}
	for range c.config.FeedCallers {
		group.Go(func() { c.runFeedCaller(ctx) })
	}
	for range c.config.FileCallers {
		group.Go(func() { c.runFileCaller(ctx) })
	}
	group.Wait()
	_ = c.conn.Close()
}

func (c *Callers) loopRead() {
	receiver := geneve.NewReceiver()
	var codec geneve.Codec
	var m geneve.Message
	for {
		n, err := receiver.Read(c.conn)
		if err != nil {
			return
		}
		for i := range n {
			if codec.Decode(receiver.Data(i), &m) == nil && m.Notice == nil {
				c.stack.Input(&m.Packet, m.Refusal, m.RetryAfter)
			}
		}
	}
}

// dial opens a connection. It retries a refused connection after the time that
// the refusal specifies, at least 50 ms.
func (c *Callers) dial(ctx context.Context, t Target) (*tcp.Conn, error) {
	for {
		flow := bramleyfall.Flow{
			Source:      bramleyfall.Endpoint{IP: c.config.IP, Port: uint16(c.lastPort.Add(1))},
			Destination: t.Endpoint, Protocol: bramleyfall.TCP,
		}
		conn, err := c.stack.Dial(ctx, flow)
		var refused *tcp.RefusedError
		if !errors.As(err, &refused) {
			return conn, err
		}
		c.Counts.Refused.Add(1)
		sleep(ctx, max(refused.RetryAfter, 50*time.Millisecond))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runPersistentOrderCaller sends orders over one connection, and opens a new one
// when the connection breaks.
func (c *Callers) runPersistentOrderCaller(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Orders)
		if err != nil {
			c.recordDialFailure(ctx)
			continue
		}
		c.Counts.FlowsOpen.Add(1)
		lines := bufio.NewReader(conn)
		for ctx.Err() == nil && c.sendOrder(ctx, conn, lines) {
			sleep(ctx, c.config.Pause)
		}
		c.Counts.FlowsOpen.Add(-1)
		_ = conn.Close()
	}
}

// runSingleOrderCaller opens a connection for each order.
func (c *Callers) runSingleOrderCaller(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Orders)
		if err != nil {
			c.recordDialFailure(ctx)
			continue
		}
		c.sendOrder(ctx, conn, bufio.NewReader(conn))
		_ = conn.Close()
		sleep(ctx, c.config.Pause)
	}
}

// recordDialFailure counts a connection that could not be opened, and waits
// before the next attempt.
func (c *Callers) recordDialFailure(ctx context.Context) {
	if ctx.Err() == nil {
		c.Counts.Failed.Add(1)
		sleep(ctx, c.config.Pause)
	}
}

// sendOrder sends an order and waits for the response. Orders are not idempotent, so
// sendOrder repeats an order only if the upstream replies that it did not execute it.
// sendOrder returns false when the connection is broken.
func (c *Callers) sendOrder(ctx context.Context, conn *tcp.Conn, lines *bufio.Reader) bool {
	id := fmt.Sprintf("%s-%d", c.config.Name, c.lastOrder.Add(1))
	c.Counts.OrdersSent.Add(1)
	for {
		line, err := c.roundTrip(conn, lines, fmt.Sprintf("ORDER %s %s %d\n", id, c.config.Orders.Service, c.config.Deadline.Milliseconds()))
		if err != nil {
			c.Counts.OrdersUnknown.Add(1)
			c.recordBrokenFlow(conn, err)
			return false
		}
		switch line {
		case "SHED " + id, "FAILED " + id, "EXPIRED " + id, "CANCELLED " + id:
			c.Counts.Shed.Add(1)
			sleep(ctx, c.config.Pause)
			continue
		case fmt.Sprintf("DONE %s %s", id, c.config.Orders.Service):
			c.Counts.OrdersAnswered.Add(1)
			c.config.OnAnswered(id)
		default:
			c.Counts.WrongAnswers.Add(1)
		}
		return true
	}
}

// roundTrip sends a request and returns the first line of the response. It aborts
// the connection when the deadline passes.
func (c *Callers) roundTrip(conn *tcp.Conn, lines *bufio.Reader, request string) (string, error) {
	timer := time.AfterFunc(c.config.Deadline, conn.Abort)
	defer timer.Stop()
	if _, err := io.WriteString(conn, request); err != nil {
		return "", err
	}
	line, err := lines.ReadString('\n')
	return strings.TrimSpace(line), err
}

// runFeedCaller holds a feed open, and opens a new one when it ends.
func (c *Callers) runFeedCaller(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Feeds)
		if err != nil {
			c.recordDialFailure(ctx)
			continue
		}
		c.Counts.FlowsOpen.Add(1)
		stop := context.AfterFunc(ctx, conn.Abort)
		if _, err := fmt.Fprintf(conn, "FEED %s %s\n", c.config.Name, c.config.Feeds.Service); err == nil {
			c.readFeed(conn)
		}
		stop()
		c.Counts.FlowsOpen.Add(-1)
		if ctx.Err() == nil {
			c.recordBrokenFlow(conn, io.ErrUnexpectedEOF)
		}
	}
}

// recordBrokenFlow counts and logs a flow that ended before its caller closed it.
func (c *Callers) recordBrokenFlow(conn *tcp.Conn, err error) {
	c.Counts.FlowsBroken.Add(1)
	fmt.Printf("Broken Time=%s Flow=%q Reason=%q\n", time.Now().UTC().Format(time.RFC3339Nano), conn.Flow(), err)
}

// readFeed counts the messages of a feed and records the longest gap between two
// of them.
func (c *Callers) readFeed(conn *tcp.Conn) {
	lines := bufio.NewScanner(conn)
	lastTick := time.Now()
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) != 3 || words[0] != "TICK" || words[2] != c.config.Feeds.Service {
			c.Counts.WrongAnswers.Add(1)
		}
		c.Counts.FeedTicks.Add(1)
		gap := time.Since(lastTick).Milliseconds()
		lastTick = time.Now()
		if gap > c.Counts.FeedGapMillis.Load() {
			c.Counts.FeedGapMillis.Store(gap)
		}
	}
}

// runFileCaller fetches files, each over a new connection.
func (c *Callers) runFileCaller(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Files)
		if err != nil {
			c.recordDialFailure(ctx)
			continue
		}
		c.fetchFile(conn)
		_ = conn.Close()
		sleep(ctx, c.config.Pause)
	}
}

func (c *Callers) fetchFile(conn *tcp.Conn) {
	lines := bufio.NewReader(conn)
	line, err := c.roundTrip(conn, lines, fmt.Sprintf("FILE drawing %s\n", c.config.Files.Service))
	if err == nil && line == "FILE drawing "+c.config.Files.Service {
		_, err = lines.ReadString('\n')
	}
	switch {
	case err != nil:
		c.Counts.FilesFailed.Add(1)
		c.recordBrokenFlow(conn, err)
	case strings.HasPrefix(line, "FILE"):
		c.Counts.FilesFetched.Add(1)
	case strings.HasPrefix(line, "SHED"), strings.HasPrefix(line, "FAILED"):
		c.Counts.Shed.Add(1)
	default:
		c.Counts.WrongAnswers.Add(1)
	}
}
