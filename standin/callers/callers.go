// Package callers stands in for the callers: dealers that place orders over
// lasting connections, viewers that hold feeds open, and fitters that fetch
// files over short connections.
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

// Target is a service address that callers use.
type Target struct {
	Service  string
	Endpoint bramleyfall.Endpoint
}

// Config holds the settings of the callers of one host.
type Config struct {
	Name   string
	Listen bramleyfall.Endpoint
	Fabric bramleyfall.Endpoint
	// IP is the callers' address in the tunnelled packets.
	IP     [4]byte
	Orders Target
	Feeds  Target
	Files  Target
	// Dealers, Shoppers, Viewers and Fitters are the numbers of callers. A
	// shopper places each order over a connection of its own.
	Dealers, Shoppers, Viewers, Fitters int
	// Pause is the time between two requests of a dealer or a fitter.
	Pause time.Duration
	// Deadline is the time for the answer to one request.
	Deadline time.Duration
	Seed     uint64
	// Answered is called with the id of each order that was answered.
	Answered func(id string)
}

// Counts is what the callers have seen.
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
	config Config
	conn   *geneve.Conn
	stack  *tcp.Stack
	port   atomic.Uint32
	order  atomic.Int64
	// Counts is what they have seen so far.
	Counts Counts
}

// firstPort is the first source port that callers use.
const firstPort = 10000

// New opens the socket of the callers.
func New(config Config) (*Callers, error) {
	conn, err := geneve.Listen(config.Listen)
	if err != nil {
		return nil, err
	}
	c := &Callers{config: config, conn: conn}
	c.port.Store(firstPort)
	c.stack = tcp.NewStack(c.output, tcp.WithSeed(config.Seed))
	return c, nil
}

func (c *Callers) output(raw []byte) {
	var codec geneve.Codec
	buffer := gopacket.NewSerializeBuffer()
	if codec.EncodePlain(buffer, raw) == nil {
		_ = c.conn.WriteTo(buffer.Bytes(), c.config.Fabric)
	}
}

// Run calls until ctx ends, then waits for the requests under way.
func (c *Callers) Run(ctx context.Context) {
	stackContext, stop := context.WithCancel(context.Background())
	defer stop()
	go c.stack.Run(stackContext)
	go c.loopRead()
	var group sync.WaitGroup
	for range c.config.Dealers {
		group.Go(func() { c.runDealer(ctx) })
	}
	for range c.config.Shoppers {
		group.Go(func() { c.runShopper(ctx) })
	}
	for range c.config.Viewers {
		group.Go(func() { c.runViewer(ctx) })
	}
	for range c.config.Fitters {
		group.Go(func() { c.runFitter(ctx) })
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

// dial opens a connection. It comes back when a refusal says so.
func (c *Callers) dial(ctx context.Context, t Target) (*tcp.Conn, error) {
	for {
		flow := bramleyfall.Flow{
			Source:      bramleyfall.Endpoint{IP: c.config.IP, Port: uint16(c.port.Add(1))},
			Destination: t.Endpoint, Protocol: bramleyfall.TCP,
		}
		conn, err := c.stack.Dial(ctx, flow)
		var refused *tcp.Refused
		if !errors.As(err, &refused) {
			return conn, err
		}
		c.Counts.Refused.Add(1)
		pause(ctx, max(refused.RetryAfter, 50*time.Millisecond))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runDealer places orders over one connection, and opens another one when that
// breaks.
func (c *Callers) runDealer(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Orders)
		if err != nil {
			c.failed(ctx)
			continue
		}
		c.Counts.FlowsOpen.Add(1)
		lines := bufio.NewReader(conn)
		for ctx.Err() == nil && c.placeOrder(ctx, conn, lines) {
			pause(ctx, c.config.Pause)
		}
		c.Counts.FlowsOpen.Add(-1)
		_ = conn.Close()
	}
}

// runShopper places each order over a connection of its own.
func (c *Callers) runShopper(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Orders)
		if err != nil {
			c.failed(ctx)
			continue
		}
		c.placeOrder(ctx, conn, bufio.NewReader(conn))
		_ = conn.Close()
		pause(ctx, c.config.Pause)
	}
}

func (c *Callers) failed(ctx context.Context) {
	if ctx.Err() == nil {
		c.Counts.Failed.Add(1)
		pause(ctx, c.config.Pause)
	}
}

// placeOrder sends a non-idempotent order and waits for its answer. An order
// that was sent is never sent again, unless the upstream says that it was not
// run. It returns false when the connection is broken.
func (c *Callers) placeOrder(ctx context.Context, conn *tcp.Conn, lines *bufio.Reader) bool {
	id := fmt.Sprintf("%s-%d", c.config.Name, c.order.Add(1))
	c.Counts.OrdersSent.Add(1)
	for {
		line, err := c.ask(conn, lines, fmt.Sprintf("ORDER %s %s %d\n", id, c.config.Orders.Service, c.config.Deadline.Milliseconds()))
		if err != nil {
			c.Counts.OrdersUnknown.Add(1)
			c.broken(conn, err)
			return false
		}
		switch line {
		case "SHED " + id, "FAILED " + id, "EXPIRED " + id, "CANCELLED " + id:
			c.Counts.Shed.Add(1)
			pause(ctx, c.config.Pause)
			continue
		case fmt.Sprintf("DONE %s %s", id, c.config.Orders.Service):
			c.Counts.OrdersAnswered.Add(1)
			c.config.Answered(id)
		default:
			c.Counts.WrongAnswers.Add(1)
		}
		return true
	}
}

func (c *Callers) ask(conn *tcp.Conn, lines *bufio.Reader, request string) (string, error) {
	timer := time.AfterFunc(c.config.Deadline, conn.Abort)
	defer timer.Stop()
	if _, err := io.WriteString(conn, request); err != nil {
		return "", err
	}
	line, err := lines.ReadString('\n')
	return strings.TrimSpace(line), err
}

// runViewer holds a feed open and notes the longest gap between two messages.
func (c *Callers) runViewer(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Feeds)
		if err != nil {
			c.failed(ctx)
			continue
		}
		c.Counts.FlowsOpen.Add(1)
		stop := context.AfterFunc(ctx, conn.Abort)
		if _, err := fmt.Fprintf(conn, "FEED %s %s\n", c.config.Name, c.config.Feeds.Service); err == nil {
			c.watchFeed(conn)
		}
		stop()
		c.Counts.FlowsOpen.Add(-1)
		if ctx.Err() == nil {
			c.broken(conn, io.ErrUnexpectedEOF)
		}
	}
}

// broken counts a flow that ended before its caller was done.
func (c *Callers) broken(conn *tcp.Conn, err error) {
	c.Counts.FlowsBroken.Add(1)
	fmt.Printf("Broken Time=%s Flow=%q Reason=%q\n", time.Now().UTC().Format(time.RFC3339Nano), conn.Flow(), err)
}

func (c *Callers) watchFeed(conn *tcp.Conn) {
	lines := bufio.NewScanner(conn)
	last := time.Now()
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) != 3 || words[0] != "TICK" || words[2] != c.config.Feeds.Service {
			c.Counts.WrongAnswers.Add(1)
		}
		c.Counts.FeedTicks.Add(1)
		gap := time.Since(last).Milliseconds()
		last = time.Now()
		if gap > c.Counts.FeedGapMillis.Load() {
			c.Counts.FeedGapMillis.Store(gap)
		}
	}
}

// runFitter fetches files, each over a connection of its own.
func (c *Callers) runFitter(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := c.dial(ctx, c.config.Files)
		if err != nil {
			c.failed(ctx)
			continue
		}
		c.fetch(conn)
		_ = conn.Close()
		pause(ctx, c.config.Pause)
	}
}

func (c *Callers) fetch(conn *tcp.Conn) {
	lines := bufio.NewReader(conn)
	line, err := c.ask(conn, lines, fmt.Sprintf("FILE drawing %s\n", c.config.Files.Service))
	if err == nil && line == "FILE drawing "+c.config.Files.Service {
		_, err = lines.ReadString('\n')
	}
	switch {
	case err != nil:
		c.Counts.FilesFailed.Add(1)
		c.broken(conn, err)
	case strings.HasPrefix(line, "FILE"):
		c.Counts.FilesFetched.Add(1)
	case strings.HasPrefix(line, "SHED"), strings.HasPrefix(line, "FAILED"):
		c.Counts.Shed.Add(1)
	default:
		c.Counts.WrongAnswers.Add(1)
	}
}
