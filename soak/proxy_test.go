package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// mode is how a proxy treats connections.
type mode string

// The modes of a proxy.
const (
	modePass mode = "Pass"
	// modeDelay delays each read chunk by proxyDelay.
	modeDelay mode = "Delay"
	// modeReset resets all open and new connections.
	modeReset mode = "Reset"
	// modeCutUp drops the bytes from the instance to the store, modeCutDown those
	// from the store to the instance, and modeSilent both. The connections stay open.
	modeCutUp   mode = "CutUp"
	modeCutDown mode = "CutDown"
	modeSilent  mode = "Silent"
)

var modes = []mode{modeDelay, modeReset, modeCutUp, modeCutDown, modeSilent}

const proxyDelay = 300 * time.Millisecond

// proxy is a TCP proxy between one instance and the store.
type proxy struct {
	listener     net.Listener
	storeAddress string

	mu   sync.Mutex
	mode mode
	open map[net.Conn]bool
}

func newProxy(t testing.TB, address, storeAddress string) *proxy {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, storeAddress: storeAddress, mode: modePass, open: make(map[net.Conn]bool)}
	go p.loop()
	t.Cleanup(func() {
		_ = l.Close()
		p.resetAll()
	})
	return p
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == modeReset {
		p.resetAll()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
	}
	clear(p.open)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) loop() {
	for {
		instanceConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		storeConn, err := net.Dial("tcp4", p.storeAddress)
		if err != nil || p.currentMode() == modeReset {
			reset(instanceConn)
			continue
		}
		p.mu.Lock()
		p.open[instanceConn], p.open[storeConn] = true, true
		p.mu.Unlock()
		go p.loopCopy(storeConn, instanceConn, modeCutUp)
		go p.loopCopy(instanceConn, storeConn, modeCutDown)
	}
}

// loopCopy copies one direction of a connection. dropMode is the mode that drops
// this direction.
func (p *proxy) loopCopy(to, from net.Conn, dropMode mode) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, to)
		delete(p.open, from)
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		m := p.currentMode()
		// A byte stream with a gap is unusable, so it stays dropped after the mode
		// has changed.
		dropping = dropping || m == dropMode || m == modeSilent
		if dropping {
			continue
		}
		if m == modeDelay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
