package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/operator"
	"bramleyfall.example/bramleyfall/operator/operatorpb"
)

const (
	// callTimeout is the timeout of a call to one balancer.
	callTimeout = 10 * time.Second
	// pollInterval is the interval at which the state of an accepted change is
	// requested.
	pollInterval = 500 * time.Millisecond
)

// client sends statements to the first balancer that replies and prints the replies.
type client struct {
	config Config
	// operators holds a client for each of config.Balancers, in the same order.
	operators []operatorpb.Operator
	out       io.Writer
	errOut    io.Writer
}

func newClient(config Config, out, errOut io.Writer) *client {
	c := &client{config: config, out: out, errOut: errOut}
	http := config.Keys.Client(bramleyfall.SystemClock(), callTimeout, [4]byte{})
	for _, b := range config.Balancers {
		c.operators = append(c.operators, operatorpb.NewOperatorProtobufClient("http://"+b.String(), http))
	}
	return c
}

// execute executes one statement and prints the reply. It waits for an accepted
// command to be in force.
func (c *client) execute(text string) (bramleyfall.ResultCode, error) {
	parsed, err := operator.Parse(text)
	if err != nil {
		fmt.Fprintln(c.errOut, err)
		return bramleyfall.BadStatement, nil
	}
	request := &operatorpb.ExecuteRequest{
		Statement: text, Actor: c.config.Actor, DryRun: c.config.DryRun, Force: c.config.Force,
	}
	if parsed.IsCommand() && !c.config.DryRun {
		request.ChangeId = c.changeID()
	}
	reply, err := c.call(request)
	if err != nil {
		return bramleyfall.PeerAway, c.unansweredError(request, err)
	}
	if code := bramleyfall.ResultCode(reply.Code); code == bramleyfall.Accepted && parsed.IsCommand() {
		reply = c.awaitInForce(reply)
	}
	return bramleyfall.ResultCode(reply.Code), c.print(reply)
}

// changeID returns the id from the settings, or a random one if none is set.
func (c *client) changeID() string {
	if c.config.ChangeID != "" {
		return c.config.ChangeID
	}
	return "c-" + strings.ToLower(rand.Text()[:12])
}

// unansweredError returns the error for a request that no balancer answered. A
// command may have been accepted nevertheless, so its error says how to find out.
func (c *client) unansweredError(request *operatorpb.ExecuteRequest, err error) error {
	if request.ChangeId == "" {
		return err
	}
	return bramleyfall.Errorf(bramleyfall.Unknown,
		"no balancer answered (%v); whether change %s was accepted is unknown: ask with \"show change %s\", or repeat the command with --change-id %s, which never applies it twice",
		err, request.ChangeId, request.ChangeId, request.ChangeId)
}

// call sends a request to the balancers in turn until one replies. The change id
// makes commands idempotent, so it is safe to retry at another balancer.
func (c *client) call(request *operatorpb.ExecuteRequest) (*operatorpb.ExecuteReply, error) {
	var last error
	for i, balancer := range c.operators {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		reply, err := balancer.Execute(ctx, request)
		cancel()
		if err == nil {
			return reply, nil
		}
		last = bramleyfall.Errorf(bramleyfall.PeerAway, "balancer %s: %v", c.config.Balancers[i], err)
	}
	return nil, last
}

// awaitInForce polls the state of an accepted change until the change is in force or
// the configured wait has passed. It returns the last reply.
func (c *client) awaitInForce(reply *operatorpb.ExecuteReply) *operatorpb.ExecuteReply {
	deadline := time.Now().Add(c.config.Wait)
	for time.Now().Before(deadline) {
		next, err := c.call(&operatorpb.ExecuteRequest{Statement: "show change " + reply.ChangeId})
		if err == nil {
			reply = next
		}
		if bramleyfall.ResultCode(reply.Code) == bramleyfall.InForce {
			return reply
		}
		fmt.Fprintln(c.errOut, reply.Message)
		time.Sleep(pollInterval)
	}
	return reply
}

// jsonReply is the form of a reply that --output json prints.
type jsonReply struct {
	Code     int32
	Result   string
	Message  string   `json:",omitempty"`
	ChangeID string   `json:",omitempty"`
	Revision uint64   `json:",omitempty"`
	Columns  []string `json:",omitempty"`
	Rows     [][]string
}

func (c *client) print(reply *operatorpb.ExecuteReply) error {
	code := bramleyfall.ResultCode(reply.Code)
	if c.config.Output == "json" {
		out := jsonReply{
			Code: reply.Code, Result: code.String(), Message: reply.Message,
			ChangeID: reply.ChangeId, Revision: reply.Revision, Columns: reply.Columns,
		}
		for _, row := range reply.Rows {
			out.Rows = append(out.Rows, row.Cells)
		}
		return json.NewEncoder(c.out).Encode(out)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	if len(reply.Columns) > 0 {
		fmt.Fprintln(table, strings.Join(reply.Columns, "\t"))
	}
	for _, row := range reply.Rows {
		fmt.Fprintln(table, strings.Join(row.Cells, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if code == bramleyfall.OK {
		if reply.Message != "" {
			fmt.Fprintln(c.out, reply.Message)
		}
		return nil
	}
	fmt.Fprintf(c.out, "%s (%d): %s\n", code, reply.Code, reply.Message)
	return nil
}
