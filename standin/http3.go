package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/standin/callers"
	"bramleyfall.example/bramleyfall/standin/quic"
)

func runHTTP3Upstream(args []string) int {
	s := settings.New("standin http3-upstream", "simulates an HTTP/3 upstream")
	service := s.String("service", "", "service that the upstream provides")
	address := s.String("address", "", "address of the service")
	listen := s.String("listen", "", "address for tunnelled packets (UDP)")
	agent := s.String("agent", "", "address of the upstream's agent (UDP)")
	health := s.String("health", "", "address of the health endpoint (HTTP)")
	var listenEndpoint, agentEndpoint, serviceEndpoint bramleyfall.Endpoint
	check := func() {
		listenEndpoint, agentEndpoint, serviceEndpoint = s.Endpoint("listen", *listen), s.Endpoint("agent", *agent), s.Endpoint("address", *address)
		s.Required("service", *service)
		s.Required("health", *health)
	}
	return settings.Run(s, args, check, func() error {
		ctx, stop := signalContext()
		defer stop()
		conn, err := quic.NewConn(listenEndpoint, agentEndpoint, serviceEndpoint)
		if err != nil {
			return err
		}
		go serveHealth(ctx, *health)
		return quic.Serve(ctx, conn, *service)
	})
}

// serveHealth serves a health endpoint that reports the boot id: the start time in
// nanoseconds.
func serveHealth(ctx context.Context, address string) {
	boot := time.Now().UnixNano()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(struct{ Boot int64 }{boot})
	})
	_ = serveHTTP(ctx, address, mux)
}

func runHTTP3Caller(args []string) int {
	s := settings.New("standin http3-caller", "simulates an HTTP/3 caller; prints its counts every second and at exit")
	_ = s.String("name", "caller", "accepted as by caller, but not used")
	_ = s.String("answered", "", "accepted as by caller, but not used")
	listen := s.String("listen", "", "address for tunnelled packets (UDP)")
	fabricAddress := s.String("fabric", "", "address of the fabric (UDP)")
	orders := s.String("orders", "", "service@address for requests and the stream")
	var listenEndpoint, fabricEndpoint bramleyfall.Endpoint
	var serviceTarget callers.Target
	check := func() {
		listenEndpoint, fabricEndpoint, serviceTarget = s.Endpoint("listen", *listen), s.Endpoint("fabric", *fabricAddress), parseTarget(s, "orders", *orders)
	}
	return settings.Run(s, args, check, func() error {
		const callerPort = 20000
		conn, err := quic.NewConn(listenEndpoint, fabricEndpoint, bramleyfall.Endpoint{IP: listenEndpoint.IP, Port: callerPort})
		if err != nil {
			return err
		}
		ctx, stop := signalContext()
		defer stop()
		var counts quic.Counts
		go loopPrintHTTP3Counts(ctx, &counts)
		err = quic.Call(ctx, conn, serviceTarget.Service, serviceTarget.Endpoint, &counts)
		fmt.Println("Caller Final=true", &counts)
		return err
	})
}

// loopPrintHTTP3Counts prints the current counts once a second.
func loopPrintHTTP3Counts(ctx context.Context, counts *quic.Counts) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		fmt.Println("Caller Final=false", counts)
	}
}
