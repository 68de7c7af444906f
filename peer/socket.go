package peer

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/telemetry"
)

// badSealSample is the number of badly sealed datagrams for each one that is
// logged.
const badSealSample = 100

// Socket sends and receives sealed datagrams.
type Socket struct {
	conn      *geneve.Conn
	keys      *Keys
	telemetry *telemetry.Telemetry
	closed    atomic.Bool
}

// Listen opens the socket of an instance at address.
func Listen(address bramleyfall.Endpoint, keys *Keys, t *telemetry.Telemetry) (*Socket, error) {
	conn, err := geneve.Listen(address)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, keys: keys, telemetry: t}, nil
}

// Run hands each datagram with a good seal to handle until Close. Others change
// nothing; they are counted, and a sample is logged.
func (s *Socket) Run(handle func(*peerpb.Datagram)) {
	receiver := geneve.NewReceiver()
	received := s.telemetry.Counter("bramleyfall_control_bytes_received_total")
	bad := s.telemetry.Counter("bramleyfall_bad_seals_total")
	for {
		n, err := receiver.Read(s.conn)
		if err != nil {
			if s.closed.Load() {
				return
			}
			continue
		}
		for i := range n {
			received.Add(len(receiver.Data(i)))
			d, err := s.open(receiver.Data(i))
			if err == nil {
				handle(d)
				continue
			}
			bad.Inc()
			if bad.Get()%badSealSample == 1 {
				s.telemetry.Log.Warn().Str("Event", "BadSeal").Str("From", receiver.From(i).String()).Str("Reason", err.Error()).Msg("")
			}
		}
	}
}

func (s *Socket) open(sealed []byte) (*peerpb.Datagram, error) {
	body, err := s.keys.Open(PurposeDatagram, sealed)
	if err != nil {
		return nil, err
	}
	d := &peerpb.Datagram{}
	return d, proto.Unmarshal(body, d)
}

// Send seals and sends datagrams. One that the system does not take is lost, as
// any datagram may be.
func (s *Socket) Send(out []Outgoing) {
	sent := s.telemetry.Counter("bramleyfall_control_bytes_sent_total")
	for _, o := range out {
		body, err := proto.Marshal(o.Datagram)
		if err != nil {
			continue
		}
		sealed := s.keys.Seal(PurposeDatagram, body)
		sent.Add(len(sealed))
		_ = s.conn.WriteTo(sealed, o.To)
	}
}

// Close ends Run.
func (s *Socket) Close() error {
	s.closed.Store(true)
	return s.conn.Close()
}
