package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// dayServer is an upstream: slots, a queue that sheds, and a cold time.
type dayServer struct {
	play    *dayPlay
	index   int
	service *service
	domain  bramleyfall.DomainName
	flows   map[bramleyfall.Flow]*serving
	boot    bramleyfall.BootID
	beats   uint64
	down    bool
	// coldUntil is the end of the cold time.
	coldUntil time.Time
	running   int
	waiting   []func()
}

// serving is the upstream's end of a flow.
type serving struct {
	start, sent uint32
	// next is the sequence number that follows the caller's requests.
	next uint32
	// opened is what it was after the opening.
	opened uint32
	// answer is the last one, to be repeated.
	answer *bramleyfall.Packet
}

// beat returns the number of the next heartbeat.
func (s *dayServer) beat() uint64 {
	s.beats++
	return s.beats
}

// crash ends the run of the upstream.
func (s *dayServer) crash() {
	s.down = true
	s.boot++
	s.beats = 0
	s.running, s.waiting = 0, nil
	clear(s.flows)
}

// start begins a run, which is cold.
func (s *dayServer) start() {
	s.down = false
	s.coldUntil = s.play.Now().Add(seconds(s.service.ColdFor))
}

// take handles a caller's packet. It reports whether the upstream holds its flow.
func (s *dayServer) take(p bramleyfall.Packet) bool {
	if s.down {
		return true // it is lost
	}
	f := s.flows[p.Flow]
	switch {
	case p.Kind == bramleyfall.KindOpening:
		if f == nil {
			f = &serving{start: s.play.random.Uint32(), next: p.End(), opened: p.End()}
			f.sent = f.start + 1
			s.flows[p.Flow] = f
		}
		s.reply(bramleyfall.Packet{
			Flow: p.Flow.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: f.start, Ack: p.End(),
		})
	case f == nil:
		return false
	case p.Kind == bramleyfall.KindReset:
		delete(s.flows, p.Flow)
	case p.Length > 0 && int32(p.End()-f.next) > 0:
		f.next, f.answer = p.End(), nil
		s.request(p, f)
	case p.Length > 0 && f.answer != nil:
		s.reply(*f.answer)
	}
	return true
}

// request runs a request, keeps it waiting or turns it away.
func (s *dayServer) request(p bramleyfall.Packet, f *serving) {
	switch {
	case s.running < s.service.Slots:
		s.begin(p, f)
	case len(s.waiting) < s.service.Queue:
		s.waiting = append(s.waiting, func() { s.begin(p, f) })
	default:
		s.answer(p, f, shedLength)
	}
}

const (
	// shedLength is the length of an answer that turns a request away, and
	// answerLength that of a packet of another.
	shedLength   = 100
	answerLength = 1200
)

func (s *dayServer) begin(p bramleyfall.Packet, f *serving) {
	s.running++
	s.play.tally.ran(s.play.flows[p.Flow])
	work := s.play.work(&s.play.site.Classes[classAt(p.Flow.Destination)])
	if s.play.Now().Before(s.coldUntil) {
		work = time.Duration(s.service.ColdFactor * float64(work))
	}
	boot := s.boot
	s.play.After(work, func() {
		if s.boot != boot {
			return
		}
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		s.answer(p, f, answerLength)
	})
}

func (s *dayServer) answer(p bramleyfall.Packet, f *serving, length uint32) {
	f.answer = &bramleyfall.Packet{
		Flow: p.Flow.Reverse(), Kind: bramleyfall.KindData, HasAck: true, Sequence: f.sent, Ack: p.End(), Length: length,
	}
	f.sent += length
	s.reply(*f.answer)
}

// reply sends a packet towards the caller, while the upstream knows the flow.
func (s *dayServer) reply(p bramleyfall.Packet) {
	if !s.down && s.flows[p.Flow.Reverse()] != nil {
		s.play.way.fromServer(s.index, p)
	}
}
