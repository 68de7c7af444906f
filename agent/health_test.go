package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/ring"
)

// twice is an upstream that begins to drain after the first look at its health. On
// a connection that is used again it repeats its first answer before the next.
func twice(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		looks := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveTwice(conn, &looks)
		}
	}()
	return "http://" + listener.Addr().String() + "/health"
}

func serveTwice(conn net.Conn, looks *int) {
	defer conn.Close()
	requests, earlier := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		*looks++
		body := fmt.Sprintf(`{"Boot": 1, "Draining": %t}`, *looks > 1)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := conn.Write([]byte(earlier + answer)); err != nil || r.Close {
			return
		}
		earlier = answer
	}
}

// A late second copy of an earlier answer doesn't hide that an upstream drains.
func TestLateCopyOfAHealthAnswer(t *testing.T) {
	is := is.New(t)
	url, client := twice(t), newHealthClient()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	h, err := askHealth(ctx, client, url)
	is.NoErr(err)
	is.True(!h.Draining)
	h, err = askHealth(ctx, client, url)
	is.NoErr(err)
	is.True(h.Draining)
}

// A connection to the health endpoint that ended stops openings before a look at
// the health has answered: what answers may be the next run of the upstream.
func TestUpstreamIsGoneWhenItsConnectionEnds(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	gate, err := caller.NewFlowFilter(time.Now(), caller.WithUpstream(1), caller.WithCapacity(1, 1))
	is.NoErr(err)
	gate.UpstreamStarted(1, time.Now(), time.Now())
	s := &server{
		config: Config{Health: "http://" + listener.Addr().String()}, clock: bramleyfall.SystemClock(),
		tasks: ring.New[func()](1), detached: make(chan struct{}, 1),
	}
	s.decider = &decider{server: s, gate: s.recorded(gate, time.Now())}
	go s.runAttached(ctx)
	select {
	case task := <-s.tasks.Items():
		task()
	case <-ctx.Done():
	}
	is.Equal(gate.State(), caller.UpstreamAbsent)
}
