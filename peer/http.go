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
	// sealHeader is the header with the seal of a request or response.
	sealHeader = "Bramleyfall-Seal"
	// sentHeader is the header with the time of the request, in nanoseconds
	// since the Unix epoch. The seals of the request and of the response both
	// cover it.
	sentHeader = "Bramleyfall-Sent"
	// maxClockSkew is the maximum difference between the time in a request and
	// the local clock. It limits both the clock skew between instances and the
	// age at which a request can be replayed.
	maxClockSkew = 30 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxBodySize is the maximum size in bytes of a request or response body.
	maxBodySize = 64 << 20
)

// authenticatedMessage returns the bytes that a seal covers: path, time of the
// request and body.
func authenticatedMessage(path, sent string, body []byte) []byte {
	b := make([]byte, 0, len(path)+len(sent)+len(body)+2)
	b = append(b, path...)
	b = append(b, 0)
	b = append(b, sent...)
	b = append(b, 0)
	return append(b, body...)
}

// verify returns an error if the hexadecimal seal does not match the message.
func (k *Keys) verify(purpose Purpose, seal string, message []byte) error {
	sealed := append(decodeSeal(seal), message...)
	_, err := k.Open(purpose, sealed)
	return err
}

// hexSeal returns the seal of a message in hexadecimal, without the message.
func (k *Keys) hexSeal(purpose Purpose, message []byte) string {
	return hex.EncodeToString(k.Seal(purpose, message)[:sealSize])
}

// Handler wraps next. It passes on only requests that are sealed with a fleet
// key and recent, calls onRejected for the others, and seals the responses of
// next.
func (k *Keys) Handler(next http.Handler, clock bramleyfall.Clock, onRejected func(error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
		if err == nil {
			err = k.verifyRequest(r, body, clock)
		}
		if err != nil {
			onRejected(err)
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		response := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(response, r)
		for name, values := range response.header {
			w.Header()[name] = values
		}
		message := authenticatedMessage(r.URL.Path, r.Header.Get(sentHeader), response.body.Bytes())
		w.Header().Set(sealHeader, k.hexSeal(PurposeReply, message))
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body.Bytes())
	})
}

func (k *Keys) verifyRequest(r *http.Request, body []byte, clock bramleyfall.Clock) error {
	sent := r.Header.Get(sentHeader)
	if err := k.verify(PurposeRequest, r.Header.Get(sealHeader), authenticatedMessage(r.URL.Path, sent, body)); err != nil {
		return err
	}
	nanos, err := strconv.ParseInt(sent, 10, 64)
	if err != nil {
		return bramleyfall.Errorf(bramleyfall.BadSeal, "request has the invalid time %q", sent)
	}
	if age := clock.Now().Sub(time.Unix(0, nanos)); age > maxClockSkew || age < -maxClockSkew {
		return bramleyfall.Errorf(bramleyfall.BadSeal, "request time deviates from the local clock by %s", age)
	}
	return nil
}

// bufferedResponse holds a response until it can be sealed.
type bufferedResponse struct {
	header http.Header
	body   bytes.Buffer
	status int
}

func (b *bufferedResponse) Header() http.Header            { return b.header }
func (b *bufferedResponse) WriteHeader(status int)         { b.status = status }
func (b *bufferedResponse) Write(data []byte) (int, error) { return b.body.Write(data) }

// Client returns an HTTP client that seals requests and verifies the seals of
// responses. Connections originate from localIP, or from any local address if
// it is zero.
func (k *Keys) Client(clock bramleyfall.Clock, timeout time.Duration, localIP [4]byte) *http.Client {
	dialer := &net.Dialer{}
	if localIP != [4]byte{} {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IP(localIP[:])}
	}
	base := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout}
	return &http.Client{Timeout: timeout, Transport: &sealingTransport{keys: k, clock: clock, base: base}}
}

type sealingTransport struct {
	keys  *Keys
	clock bramleyfall.Clock
	base  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *sealingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	sent := strconv.FormatInt(t.clock.Now().UnixNano(), 10)
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.Header.Set(sentHeader, sent)
	request.Header.Set(sealHeader, t.keys.hexSeal(PurposeRequest, authenticatedMessage(r.URL.Path, sent, body)))
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	if err != nil {
		return nil, err
	}
	if err := t.keys.verify(PurposeReply, response.Header.Get(sealHeader), authenticatedMessage(r.URL.Path, sent, responseBody)); err != nil {
		return nil, bramleyfall.Errorf(bramleyfall.BadSeal, "response %s from %s has no valid seal of a fleet key", response.Status, r.URL.Host)
	}
	response.Body = io.NopCloser(bytes.NewReader(responseBody))
	return response, nil
}

// decodeSeal decodes a hexadecimal seal. For a malformed one it returns a zero
// seal, which matches no message.
func decodeSeal(text string) []byte {
	seal, err := hex.DecodeString(text)
	if err != nil || len(seal) != sealSize {
		return make([]byte, sealSize)
	}
	return seal
}
