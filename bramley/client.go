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
	// callTimeout bounds one call to one balancer.
	callTimeout = 10 * time.Second
	// progressEvery is the time between two looks at a change that spreads.
	progressEvery = 500 * time.Millisecond
)

// client sends statements to the first balancer that answers.
type client struct {
	config Config
	calls  []operatorpb.Operator
	out    io.Writer
	err    io.Writer
}

func newClient(config Config, out, errors io.Writer) *client {
	c := &client{config: config, out: out, err: errors}
	http := config.Keys.Client(bramleyfall.SystemClock(), callTimeout, [4]byte{})
	for _, b := range config.Balancers {
		c.calls = append(c.calls, operatorpb.NewOperatorProtobufClient("http://"+b.String(), http))
	}
	return c
}

// statement runs one statement and prints the answer.
func (c *client) statement(text string) (bramleyfall.ResultCode, error) {
	parsed, err := operator.Parse(text)
	if err != nil {
		fmt.Fprintln(c.err, err)
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
		return bramleyfall.PeerAway, c.silent(request, err)
	}
	if code := bramleyfall.ResultCode(reply.Code); code == bramleyfall.Accepted && parsed.IsCommand() {
		reply = c.follow(reply)
	}
	return bramleyfall.ResultCode(reply.Code), c.print(reply)
}

// changeID returns the given id, or a new one.
func (c *client) changeID() string {
	if c.config.ChangeID != "" {
		return c.config.ChangeID
	}
	return "c-" + strings.ToLower(rand.Text()[:12])
}

// silent tells what is unknown when no balancer answered.
func (c *client) silent(request *operatorpb.ExecuteRequest, err error) error {
	if request.ChangeId == "" {
		return err
	}
	return bramleyfall.Errorf(bramleyfall.Unknown,
		"no balancer answered (%v); whether change %s was accepted is unknown: ask with \"show change %s\", or repeat the command with --change-id %s, which never applies it twice",
		err, request.ChangeId, request.ChangeId, request.ChangeId)
}

// call sends a request to the balancers in turn. Commands are idempotent by
// their change id, so that trying another balancer is safe.
func (c *client) call(request *operatorpb.ExecuteRequest) (*operatorpb.ExecuteReply, error) {
	var last error
	for i, service := range c.calls {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		reply, err := service.Execute(ctx, request)
		cancel()
		if err == nil {
			return reply, nil
		}
		last = bramleyfall.Errorf(bramleyfall.PeerAway, "balancer %s: %v", c.config.Balancers[i], err)
	}
	return nil, last
}

// follow asks for a change until it is in force or the wait is over.
func (c *client) follow(reply *operatorpb.ExecuteReply) *operatorpb.ExecuteReply {
	deadline := time.Now().Add(c.config.Wait)
	for time.Now().Before(deadline) {
		next, err := c.call(&operatorpb.ExecuteRequest{Statement: "show change " + reply.ChangeId})
		if err == nil {
			reply = next
		}
		if bramleyfall.ResultCode(reply.Code) == bramleyfall.InForce {
			return reply
		}
		fmt.Fprintln(c.err, reply.Message)
		time.Sleep(progressEvery)
	}
	return reply
}

// answer is a reply as --output json prints it.
type answer struct {
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
		a := answer{
			Code: reply.Code, Result: code.String(), Message: reply.Message,
			ChangeID: reply.ChangeId, Revision: reply.Revision, Columns: reply.Columns,
		}
		for _, row := range reply.Rows {
			a.Rows = append(a.Rows, row.Cells)
		}
		return json.NewEncoder(c.out).Encode(a)
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
