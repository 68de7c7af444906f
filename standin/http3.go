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
	s := settings.New("standin http3-upstream", "stands in for a server that speaks HTTP/3")
	service := s.String("service", "", "service that it runs")
	address := s.String("address", "", "address of the service")
	listen := s.String("listen", "", "address for tunnelled packets (UDP)")
	agent := s.String("agent", "", "address of the agent beside it (UDP)")
	health := s.String("health", "", "address of the health endpoint (HTTP)")
	var at, to, local bramleyfall.Endpoint
	check := func() {
		at, to, local = s.Endpoint("listen", *listen), s.Endpoint("agent", *agent), s.Endpoint("address", *address)
		s.Required("service", *service)
		s.Required("health", *health)
	}
	return settings.Run(s, args, check, func() error {
		ctx, stop := untilSignal()
		defer stop()
		conn, err := quic.NewConn(at, to, local)
		if err != nil {
			return err
		}
		go loopHealth(ctx, *health)
		return quic.Serve(ctx, conn, *service)
	})
}

// loopHealth serves a health endpoint that tells the boot id.
func loopHealth(ctx context.Context, address string) {
	boot := time.Now().UnixNano()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(struct{ Boot int64 }{boot})
	})
	_ = serveHTTP(ctx, address, mux)
}

func runHTTP3Caller(args []string) int {
	s := settings.New("standin http3-caller", "stands in for a caller that speaks HTTP/3")
	_ = s.String("name", "caller", "name of the caller")
	_ = s.String("answered", "", "not used")
	listen := s.String("listen", "", "address for tunnelled packets (UDP)")
	fabricAt := s.String("fabric", "", "address of the fabric (UDP)")
	orders := s.String("orders", "", "service@address for requests and the stream")
	var at, to bramleyfall.Endpoint
	var t callers.Target
	check := func() {
		at, to, t = s.Endpoint("listen", *listen), s.Endpoint("fabric", *fabricAt), target(s, "orders", *orders)
	}
	return settings.Run(s, args, check, func() error {
		const port = 20000
		conn, err := quic.NewConn(at, to, bramleyfall.Endpoint{IP: at.IP, Port: port})
		if err != nil {
			return err
		}
		ctx, stop := untilSignal()
		defer stop()
		var counts quic.Counts
		go loopPrint(ctx, &counts)
		err = quic.Call(ctx, conn, t.Service, t.Endpoint, &counts)
		fmt.Println("Caller Final=true", &counts)
		return err
	})
}

// loopPrint prints what the caller saw so far, once a second.
func loopPrint(ctx context.Context, counts *quic.Counts) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		fmt.Println("Caller Final=false", counts)
	}
}
