package gladedatagram

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// ErrTooLarge means that a value does not fit into a datagram.
var ErrTooLarge = eris.New("value does not fit into a datagram")

// MaxBytes is the largest datagram, below the 64 KB of UDP. Several hundred servers fit.
const MaxBytes = 60 << 10

// Config configures a Socket.
type Config[T any] struct {
	// Address is the address to listen on.
	Address string
	// OnReceive is called with each received value, one at a time.
	OnReceive func(T)
	Log       hclog.Logger
}

// Socket sends and receives values of one type.
type Socket[T any] struct {
	config Config[T]
	conn   net.PacketConn
	packer compressor
}

// Open opens a socket, starts receiving and returns the clean-up function.
func Open[T any](c Config[T]) (*Socket[T], func(), error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", c.Address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listening for datagrams at %s", c.Address)
	}
	s := &Socket[T]{config: c, conn: conn}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		b := make([]byte, MaxBytes+1)
		for {
			n, from, err := conn.ReadFrom(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // an earlier datagram was sent to a closed port
			}
			var v T
			raw, err := decompress(b[:n])
			if err == nil {
				err = json.Unmarshal(raw, &v)
			}
			if err != nil {
				c.Log.Warn("Datagram cannot be read.", "peer", from, "bytes", n, "reason", err)
				continue
			}
			c.OnReceive(v)
		}
	})
	return s, func() {
		_ = conn.Close()
		tasks.Wait()
	}, nil
}

// Address returns the address on which the socket listens.
func (s *Socket[T]) Address() string { return s.conn.LocalAddr().String() }

// Send sends a value to each address. It returns ErrTooLarge, and sends nothing, if the encoded value exceeds MaxBytes.
func (s *Socket[T]) Send(v T, addresses []string) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encoding a datagram")
	}
	if len(raw) > MaxBytes {
		return eris.Wrapf(ErrTooLarge, "%d bytes", len(raw))
	}
	if raw, err = s.packer.compress(raw); err != nil {
		return err
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			s.config.Log.Error("Datagram not sent.", "peer", address, "reason", err)
			continue
		}
		// The next datagram makes up for a lost one, so the error is only logged.
		if _, err := s.conn.WriteTo(raw, to); err != nil {
			s.config.Log.Debug("Datagram not sent.", "peer", address, "reason", err)
		}
	}
	return nil
}
