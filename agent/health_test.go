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
