// Package direct implements balancers and agents that discover each other through
// the store. A balancer sends each packet directly to the agent that owns its flow.
// The programs balancer and agent run them. Decisions are made in packages placement
// and admission, calls to the store in package directory.
package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/telemetry"
)

const (
	// maxDatagram is the size of a read buffer: a full-sized packet, its tunnel
	// headers and some slack.
	maxDatagram = 2048
	// ReceiveBufferBytes is the size of a socket's receive buffer. It holds a burst
	// of some thousand small packets while the process waits to be scheduled.
	ReceiveBufferBytes = 1 << 20
	// httpTimeout is the time limit for reading an HTTP request.
	httpTimeout = 5 * time.Second
	// malformedLogEvery is the number of malformed messages of which one is logged.
	malformedLogEvery = 100
)

// listenUDP opens a UDP socket with a receive buffer of ReceiveBufferBytes.
func listenUDP(address bramleyfall.Endpoint) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address.AddrPort()))
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadBuffer(ReceiveBufferBytes); err != nil {
		return nil, errors.Wrapf(err, "setting the receive buffer of %s", address)
	}
	return conn, nil
}

// loopRead calls handle for each datagram until the socket is closed. The data is
// valid until handle returns.
func loopRead(conn *net.UDPConn, handle func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // ICMP error: the receiver of an earlier datagram rejected it
		}
		handle(buffer[:n], from)
	}
}

// serveHTTP serves handler on an address until the returned server is closed.
func serveHTTP(address bramleyfall.Endpoint, handler http.Handler, t *telemetry.Telemetry) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: handler, ReadTimeout: httpTimeout}
	go loopHTTP(s, listener, t)
	return s, nil
}

func loopHTTP(s *http.Server, listener net.Listener, t *telemetry.Telemetry) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		t.Log.Error().Str("Event", "HTTPFailed").Str("Reason", err.Error()).Msg("")
	}
}

// loopTick calls tick at every interval until ctx is done.
func loopTick(ctx context.Context, interval time.Duration, tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick()
		}
	}
}

func toEndpoint(a netip.AddrPort) bramleyfall.Endpoint { return bramleyfall.EndpointFrom(a) }
