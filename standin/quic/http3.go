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
	// streamEvery is the time between two messages of a long stream.
	streamEvery = 100 * time.Millisecond
	// idleTimeout is the time after which a connection without packets ends.
	idleTimeout = 10 * time.Second
	// maxDatagram keeps datagrams within the tunnel's packet size.
	maxDatagram = 1252
)

func config() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / 4,
		InitialPacketSize: maxDatagram, DisablePathMTUDiscovery: true,
	}
}

// Serve answers HTTP/3 requests over conn until ctx ends: /order with the
// service's name, /stream with a line every 100 ms.
func Serve(ctx context.Context, conn net.PacketConn, service string) error {
	certificate, err := selfSigned()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/order", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "DONE", service) })
	mux.HandleFunc("/stream", func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil && ctx.Err() == nil {
			fmt.Fprintln(w, "TICK", service)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(streamEvery)
		}
	})
	server := &http3.Server{
		Handler:    mux,
		QUICConfig: config(),
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(conn); ctx.Err() == nil {
		return err
	}
	return nil
}

func selfSigned() (tls.Certificate, error) {
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

// Counts is what an HTTP/3 caller has seen.
type Counts struct {
	Answered, Failed, Ticks, StreamsBroken, WrongAnswers atomic.Int64
}

// String returns the counts as key=value pairs.
func (c *Counts) String() string {
	return fmt.Sprintf("OrdersAnswered=%d OrdersFailed=%d FeedTicks=%d FlowsBroken=%d WrongAnswers=%d",
		c.Answered.Load(), c.Failed.Load(), c.Ticks.Load(), c.StreamsBroken.Load(), c.WrongAnswers.Load())
}

// Call holds a long stream open and makes requests beside it, over one QUIC
// connection, until ctx ends.
func Call(ctx context.Context, conn net.PacketConn, service string, to bramleyfall.Endpoint, counts *Counts) error {
	transport := &quic.Transport{Conn: conn}
	defer func() { _ = transport.Close() }()
	client := &http.Client{Transport: &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, //nolint:gosec // The stand-in's certificate is its own.
		QUICConfig:      config(),
		Dial: func(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return transport.DialEarly(ctx, net.UDPAddrFromAddrPort(to.AddrPort()), t, q)
		},
	}}
	if err := order(ctx, client, service, counts); err != nil {
		return err
	}
	go loopStream(ctx, client, service, counts)
	for ctx.Err() == nil {
		if err := order(ctx, client, service, counts); err != nil && ctx.Err() == nil {
			counts.Failed.Add(1)
		}
		time.Sleep(streamEvery)
	}
	return nil
}

func order(ctx context.Context, client *http.Client, service string, counts *Counts) error {
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
	counts.Answered.Add(1)
	return nil
}

func loopStream(ctx context.Context, client *http.Client, service string, counts *Counts) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://service/stream", nil)
	if err != nil {
		return
	}
	response, err := client.Do(r)
	if err != nil {
		counts.StreamsBroken.Add(1)
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if lines.Text() != "TICK "+service {
			counts.WrongAnswers.Add(1)
		}
		counts.Ticks.Add(1)
	}
	if ctx.Err() == nil {
		counts.StreamsBroken.Add(1)
	}
}
