package gladetls

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// ErrNoAuthority means that a file of certificate authorities holds none.
var ErrNoAuthority = eris.New("no certificate authority in file")

// DefaultServerName is the name that the certificates of VMs carry.
const DefaultServerName = "eelgrassglade"

const (
	defaultInterval  = 30 * time.Second
	handshakeTimeout = 5 * time.Second
)

// Config configures Keys.
type Config struct {
	// Cert and Key are the PEM files of this side's certificate and private key.
	Cert string
	Key  string
	// CA is the PEM file of the authorities that the other side's certificate must come from.
	CA string
	// ServerName is the name that a dialled side's certificate must carry; empty means DefaultServerName.
	ServerName string
	// CertificateOptional lets callers in without a certificate, which then must show other credentials.
	CertificateOptional bool
	// Interval is the time between looks at the files; zero means 30 s.
	Interval time.Duration
	Log      hclog.Logger
}

// Keys are the current keys of one side.
type Keys struct {
	config  Config
	current atomic.Pointer[material]
}

// material is one reading of the files.
type material struct {
	files       [3][]byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New reads the keys, reads them again at an interval and returns the clean-up function.
func New(c Config) (*Keys, func(), error) {
	c.ServerName = cmp.Or(c.ServerName, DefaultServerName)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	k := &Keys{config: c}
	if err := k.Reload(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { k.watch(ctx) })
	return k, func() {
		cancel()
		tasks.Wait()
	}, nil
}

func (k *Keys) watch(ctx context.Context) {
	ticker := time.NewTicker(k.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := k.Reload(); err != nil {
			k.config.Log.Error("Keys not read; the last ones stay in use.", "error", err)
		}
	}
}

// Reload reads the files again and leaves the keys as they are if that fails.
func (k *Keys) Reload() error {
	m := &material{}
	for i, path := range []string{k.config.Cert, k.config.Key, k.config.CA} {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "keys")
		}
		m.files[i] = data
	}
	if old := k.current.Load(); old != nil && m.same(old) {
		return nil
	}
	if err := m.parse(); err != nil {
		return err
	}
	if k.current.Swap(m) != nil {
		k.config.Log.Info("Keys replaced.")
	}
	return nil
}

func (m *material) same(old *material) bool {
	for i := range m.files {
		if !bytes.Equal(m.files[i], old.files[i]) {
			return false
		}
	}
	return true
}

func (m *material) parse() error {
	if len(m.files[0]) > 0 {
		certificate, err := tls.X509KeyPair(m.files[0], m.files[1])
		if err != nil {
			return eris.Wrap(err, "certificate and key")
		}
		m.certificate = &certificate
	}
	if len(m.files[2]) > 0 {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(m.files[2]) {
			return ErrNoAuthority
		}
	}
	return nil
}

// Server returns the configuration of a listener, which follows the keys.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.server(), nil },
	}
}

func (k *Keys) server() *tls.Config {
	m := k.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, ClientCAs: m.authorities, ClientAuth: tls.RequireAndVerifyClientCert}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	if k.config.CertificateOptional {
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	if m.authorities == nil && k.config.CertificateOptional {
		c.ClientAuth = tls.NoClientCert
	}
	return c
}

// Client returns the configuration of one connection to another side, with the keys as they are now.
func (k *Keys) Client() *tls.Config {
	m := k.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.authorities, ServerName: k.config.ServerName}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	return c
}

// Dial returns a dialer that shakes hands over the connections of another one.
func (k *Keys) Dial(dial gladeapi.Dial) gladeapi.Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, k.Client())
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "TLS with %s", address)
		}
		return c, nil
	}
}

// Listen returns a listen function whose connections shake hands at once.
func (k *Keys) Listen(listen gladeapi.Listen) gladeapi.Listen {
	if listen == nil {
		listen = net.Listen
	}
	return func(network, address string) (net.Listener, error) {
		l, err := listen(network, address)
		if err != nil {
			return nil, err
		}
		return &listener{Listener: l, config: k.Server()}, nil
	}
}

type listener struct {
	net.Listener
	config *tls.Config
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := tls.Server(raw, l.config)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
		}
	}()
	return c, nil
}
