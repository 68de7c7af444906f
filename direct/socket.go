// Package direct runs balancers and agents that discover each other through the
// store. A balancer sends each packet directly to the agent that owns its flow.
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
	// maxDatagram is the size of a read buffer: a packet with its heads, and room.
	maxDatagram = 2048
	// ReceiveBufferBytes is the size of a socket's receive buffer. It holds a burst
	// of some thousand small packets while the process waits to be scheduled.
	ReceiveBufferBytes = 1 << 20
	// httpTimeout bounds the reading of a request.
	httpTimeout = 5 * time.Second
	// malformedSample is the number of bad messages for each one that is logged.
	malformedSample = 100
)

// listenUDP opens a datagram socket.
func listenUDP(at bramleyfall.Endpoint) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadBuffer(ReceiveBufferBytes); err != nil {
		return nil, errors.Wrapf(err, "receive buffer of %s", at)
	}
	return conn, nil
}

// loopRead hands each datagram to handle until the socket is closed. The buffer
// is valid until handle returns.
func loopRead(conn *net.UDPConn, handle func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an earlier datagram was refused by its receiver
		}
		handle(buffer[:n], from)
	}
}

// serveHTTP serves handler at an address until the returned server is closed.
func serveHTTP(at bramleyfall.Endpoint, handler http.Handler, t *telemetry.Telemetry) (*http.Server, error) {
	listener, err := net.Listen("tcp4", at.String())
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

// dependency logs when the store is lost or regained.
type dependency struct {
	telemetry *telemetry.Telemetry
	name      string
	failing   bool
}

// health notes the outcome of a call. It belongs to one goroutine.
func (d *dependency) health(err error) {
	if (err != nil) == d.failing {
		return
	}
	d.failing = err != nil
	if err != nil {
		d.telemetry.Log.Warn().Str("Event", "DependencyLost").Str("Dependency", d.name).Str("Reason", err.Error()).Msg("")
		return
	}
	d.telemetry.Log.Info().Str("Event", "DependencyRegained").Str("Dependency", d.name).Msg("")
}

// loopTick calls tick every interval until ctx ends.
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
