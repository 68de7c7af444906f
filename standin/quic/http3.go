package quic

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"bramleyfall.example/bramleyfall"
)

const (
	// streamInterval is the time between two messages of a stream, and between two
	// orders of a caller.
	streamInterval = 100 * time.Millisecond
	// idleTimeout is the time after which a connection without packets is closed.
	idleTimeout = 10 * time.Second
	// maxDatagram is the size of QUIC packets in bytes; it keeps datagrams within the
	// maximum size of tunnelled packets.
	maxDatagram = 1252
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / 4,
		InitialPacketSize: maxDatagram, DisablePathMTUDiscovery: true,
	}
}

// Serve serves HTTP/3 over conn until ctx ends. /order returns the name of the
// service; /stream sends a line with it every streamInterval.
func Serve(ctx context.Context, conn net.PacketConn, service string) error {
	certificate, err := selfSignedCertificate()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/order", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "DONE", service) })
	mux.HandleFunc("/stream", func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil && ctx.Err() == nil {
			fmt.Fprintln(w, "TICK", service)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(streamInterval)
		}
	})
	server := &http3.Server{
		Handler:    mux,
		QUICConfig: quicConfig(),
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(conn); ctx.Err() == nil {
		return err
	}
	return nil
}

func selfSignedCertificate() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"service"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
}

// Counts holds the results of an HTTP/3 caller's requests.
type Counts struct {
	OrdersAnswered, OrdersFailed, FeedTicks, FlowsBroken, WrongAnswers atomic.Int64
}

// String returns the counts as key=value pairs.
func (c *Counts) String() string {
	return fmt.Sprintf("OrdersAnswered=%d OrdersFailed=%d FeedTicks=%d FlowsBroken=%d WrongAnswers=%d",
		c.OrdersAnswered.Load(), c.OrdersFailed.Load(), c.FeedTicks.Load(), c.FlowsBroken.Load(), c.WrongAnswers.Load())
}

// Call holds a stream open and sends orders concurrently, over the same QUIC
// connection, until ctx ends. It returns an error if the first order fails.
func Call(ctx context.Context, conn net.PacketConn, service string, to bramleyfall.Endpoint, counts *Counts) error {
	transport := &quic.Transport{Conn: conn}
	defer func() { _ = transport.Close() }()
	client := &http.Client{Transport: &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, //nolint:gosec // The simulated upstream uses a self-signed certificate.
		QUICConfig:      quicConfig(),
		Dial: func(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return transport.DialEarly(ctx, net.UDPAddrFromAddrPort(to.AddrPort()), t, q)
		},
	}}
	if err := sendOrder(ctx, client, service, counts); err != nil {
		return err
	}
	go loopStream(ctx, client, service, counts)
	for ctx.Err() == nil {
		if err := sendOrder(ctx, client, service, counts); err != nil && ctx.Err() == nil {
			counts.OrdersFailed.Add(1)
		}
		time.Sleep(streamInterval)
	}
	return nil
}

func sendOrder(ctx context.Context, client *http.Client, service string, counts *Counts) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://service/order", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if string(body) != "DONE "+service+"\n" {
		counts.WrongAnswers.Add(1)
		return nil
	}
	counts.OrdersAnswered.Add(1)
	return nil
}

func loopStream(ctx context.Context, client *http.Client, service string, counts *Counts) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://service/stream", nil)
	if err != nil {
		return
	}
	response, err := client.Do(r)
	if err != nil {
		counts.FlowsBroken.Add(1)
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if lines.Text() != "TICK "+service {
			counts.WrongAnswers.Add(1)
		}
		counts.FeedTicks.Add(1)
	}
	if ctx.Err() == nil {
		counts.FlowsBroken.Add(1)
	}
}
