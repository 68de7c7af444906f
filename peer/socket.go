package peer

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/telemetry"
)

// badSealLogSampling is the number of datagrams with invalid seals per logged
// one.
const badSealLogSampling = 100

// Socket sends and receives sealed datagrams.
type Socket struct {
	conn      *geneve.Conn
	keys      *Keys
	telemetry *telemetry.Telemetry
	closed    atomic.Bool
}

// Listen opens a socket at the control address of an instance.
func Listen(address bramleyfall.Endpoint, keys *Keys, t *telemetry.Telemetry) (*Socket, error) {
	conn, err := geneve.Listen(address)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, keys: keys, telemetry: t}, nil
}

// Run calls handle for each datagram with a valid seal until Close is called.
// Other datagrams are dropped and counted, and a sample of them is logged.
func (s *Socket) Run(handle func(*peerpb.Datagram)) {
	receiver := geneve.NewReceiver()
	receivedBytes := s.telemetry.Counter("bramleyfall_control_bytes_received_total")
	badSeals := s.telemetry.Counter("bramleyfall_bad_seals_total")
	for {
		n, err := receiver.Read(s.conn)
		if err != nil {
			if s.closed.Load() {
				return
			}
			continue
		}
		for i := range n {
			receivedBytes.Add(len(receiver.Data(i)))
			d, err := s.open(receiver.Data(i))
			if err == nil {
				handle(d)
				continue
			}
			badSeals.Inc()
			if badSeals.Get()%badSealLogSampling == 1 {
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

// Send seals and sends datagrams. Send errors are ignored, since datagrams may
// be lost anyway.
func (s *Socket) Send(out []Outgoing) {
	sentBytes := s.telemetry.Counter("bramleyfall_control_bytes_sent_total")
	for _, o := range out {
		body, err := proto.Marshal(o.Datagram)
		if err != nil {
			continue
		}
		sealed := s.keys.Seal(PurposeDatagram, body)
		sentBytes.Add(len(sealed))
		_ = s.conn.WriteTo(sealed, o.To)
	}
}

// Close closes the socket and ends Run.
func (s *Socket) Close() error {
	s.closed.Store(true)
	return s.conn.Close()
}
