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

// startDuplicatingUpstream starts a health endpoint that reports draining from the
// second check on, and returns its URL. On a reused connection it repeats the
// previous response before it sends the next one.
func startDuplicatingUpstream(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		checks := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveDuplicates(conn, &checks)
		}
	}()
	return "http://" + listener.Addr().String() + "/health"
}

func serveDuplicates(conn net.Conn, checks *int) {
	defer conn.Close()
	requests, previous := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		*checks++
		body := fmt.Sprintf(`{"Boot": 1, "Draining": %t}`, *checks > 1)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := conn.Write([]byte(previous + response)); err != nil || request.Close {
			return
		}
		previous = response
	}
}

// A delayed duplicate of an earlier response must not hide that the upstream has
// started to drain.
func TestLateCopyOfAHealthAnswer(t *testing.T) {
	is := is.New(t)
	url, client := startDuplicatingUpstream(t), newHealthClient()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, err := fetchHealth(ctx, client, url)
	is.NoErr(err)
	is.True(!status.Draining)
	status, err = fetchHealth(ctx, client, url)
	is.NoErr(err)
	is.True(status.Draining)
}

// When the connection to the health endpoint closes, the upstream accepts no new
// flows until a health check succeeds, because it may have been restarted.
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
	filter, err := caller.NewFlowFilter(time.Now(), caller.WithUpstream(1), caller.WithCapacity(1, 1))
	is.NoErr(err)
	filter.UpstreamStarted(1, time.Now(), time.Now())
	s := &server{
		config: Config{Health: "http://" + listener.Addr().String()}, clock: bramleyfall.SystemClock(),
		tasks: ring.New[func()](1), connectionClosed: make(chan struct{}, 1),
	}
	s.dispatcher = &dispatcher{server: s, filter: s.newRecordingFilter(filter, time.Now())}
	go s.monitorConnection(ctx)
	select {
	case task := <-s.tasks.Items():
		task()
	case <-ctx.Done():
	}
	is.Equal(filter.State(), caller.UpstreamAbsent)
}
