package peer

import (
	"bytes"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// sealHeader holds the seal of an HTTP body, sentHeader the time of the
	// request that both seals cover.
	sealHeader = "Bramleyfall-Seal"
	sentHeader = "Bramleyfall-Sent"
	// maxSkew bounds the age of a request and the difference of clocks.
	maxSkew = 30 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// maxBody is the greatest size in bytes of a request or an answer.
	maxBody = 64 << 20
)

// sealedBody returns what the seal covers: path, time and body.
func sealedBody(path, sent string, body []byte) []byte {
	b := make([]byte, 0, len(path)+len(sent)+len(body)+2)
	b = append(b, path...)
	b = append(b, 0)
	b = append(b, sent...)
	b = append(b, 0)
	return append(b, body...)
}

// check reports whether the header's seal fits the message.
func (k *Keys) check(purpose Purpose, seal string, message []byte) error {
	sealed := append(decodeSeal(seal), message...)
	_, err := k.Open(purpose, sealed)
	return err
}

// sealOf returns the seal of a message without the message, as hex.
func (k *Keys) sealOf(purpose Purpose, message []byte) string {
	return hex.EncodeToString(k.Seal(purpose, message)[:sealSize])
}

// Handler returns next behind a check of the fleet key. Answers are sealed too.
func (k *Keys) Handler(next http.Handler, clock bramleyfall.Clock, rejected func(error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil {
			err = k.checkRequest(r, body, clock)
		}
		if err != nil {
			rejected(err)
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffered := &bufferedReply{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		for name, values := range buffered.header {
			w.Header()[name] = values
		}
		reply := sealedBody(r.URL.Path, r.Header.Get(sentHeader), buffered.body.Bytes())
		w.Header().Set(sealHeader, k.sealOf(PurposeReply, reply))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes())
	})
}

func (k *Keys) checkRequest(r *http.Request, body []byte, clock bramleyfall.Clock) error {
	sent := r.Header.Get(sentHeader)
	if err := k.check(PurposeRequest, r.Header.Get(sealHeader), sealedBody(r.URL.Path, sent, body)); err != nil {
		return err
	}
	nanos, err := strconv.ParseInt(sent, 10, 64)
	if err != nil {
		return bramleyfall.Errorf(bramleyfall.BadSeal, "time %q of the request", sent)
	}
	if age := clock.Now().Sub(time.Unix(0, nanos)); age > maxSkew || age < -maxSkew {
		return bramleyfall.Errorf(bramleyfall.BadSeal, "request is %s old", age)
	}
	return nil
}

// bufferedReply keeps an answer until it is sealed.
type bufferedReply struct {
	header http.Header
	body   bytes.Buffer
	status int
}

func (b *bufferedReply) Header() http.Header            { return b.header }
func (b *bufferedReply) WriteHeader(status int)         { b.status = status }
func (b *bufferedReply) Write(data []byte) (int, error) { return b.body.Write(data) }

// Client returns an HTTP client that seals requests and checks the answers. It
// calls from the given IP address, or from any if that is zero.
func (k *Keys) Client(clock bramleyfall.Clock, timeout time.Duration, from [4]byte) *http.Client {
	dialer := &net.Dialer{}
	if from != [4]byte{} {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IP(from[:])}
	}
	next := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout}
	return &http.Client{Timeout: timeout, Transport: &sealingTransport{keys: k, clock: clock, next: next}}
}

type sealingTransport struct {
	keys  *Keys
	clock bramleyfall.Clock
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *sealingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	sent := strconv.FormatInt(t.clock.Now().UnixNano(), 10)
	sealed := r.Clone(r.Context())
	sealed.Body = io.NopCloser(bytes.NewReader(body))
	sealed.Header.Set(sentHeader, sent)
	sealed.Header.Set(sealHeader, t.keys.sealOf(PurposeRequest, sealedBody(r.URL.Path, sent, body)))
	response, err := t.next.RoundTrip(sealed)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, err
	}
	if err := t.keys.check(PurposeReply, response.Header.Get(sealHeader), sealedBody(r.URL.Path, sent, answer)); err != nil {
		return nil, bramleyfall.Errorf(bramleyfall.BadSeal, "answer %s of %s is not sealed with the fleet key", response.Status, r.URL.Host)
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}

// decodeSeal returns the bytes of a header's seal. A malformed one is empty and
// so fits no message.
func decodeSeal(text string) []byte {
	seal, err := hex.DecodeString(text)
	if err != nil || len(seal) != sealSize {
		return make([]byte, sealSize)
	}
	return seal
}
