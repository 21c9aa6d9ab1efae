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

// ErrNoAuthority means that the CA file contains no valid certificate.
var ErrNoAuthority = eris.New("no certificate authority in file")

// DefaultServerName is the DNS name in the certificates of VMs.
const DefaultServerName = "eelgrassglade"

const (
	defaultInterval  = 30 * time.Second
	handshakeTimeout = 5 * time.Second
)

// Config configures Keys.
type Config struct {
	// Cert is the path of the PEM file with this side's certificate.
	Cert string
	// Key is the path of the PEM file with this side's private key.
	Key string
	// CA is the path of the PEM file with the authorities that verify the other side's certificate.
	CA string
	// ServerName is the DNS name that a server's certificate must contain. Empty means DefaultServerName.
	ServerName string
	// CertificateOptional accepts clients without a certificate, which must then present other credentials.
	CertificateOptional bool
	// Interval is the time between reads of the files. Zero means 30 s.
	Interval time.Duration
	Log      hclog.Logger
}

// Keys holds the current certificate, private key and certificate authorities of one side.
type Keys struct {
	config  Config
	current atomic.Pointer[keySet]
}

// keySet holds the content of the files and the keys parsed from them.
type keySet struct {
	// files holds the certificate, the private key and the authorities, in this order.
	files       [3][]byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New reads the keys, starts to reload them at an interval and returns them and the clean-up function.
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
	tasks.Go(func() { k.reloadPeriodically(ctx) })
	return k, func() {
		cancel()
		tasks.Wait()
	}, nil
}

func (k *Keys) reloadPeriodically(ctx context.Context) {
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

// Reload reads the files again. If that fails, the previous keys stay in use.
func (k *Keys) Reload() error {
	m := &keySet{}
	for i, path := range []string{k.config.Cert, k.config.Key, k.config.CA} {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "TLS key file")
		}
		m.files[i] = data
	}
	if old := k.current.Load(); old != nil && m.equal(old) {
		return nil
	}
	if err := m.parse(); err != nil {
		return eris.Wrapf(err, "TLS files %q, %q and %q", k.config.Cert, k.config.Key, k.config.CA)
	}
	if k.current.Swap(m) != nil {
		k.config.Log.Info("Keys replaced.")
	}
	return nil
}

func (m *keySet) equal(old *keySet) bool {
	for i := range m.files {
		if !bytes.Equal(m.files[i], old.files[i]) {
			return false
		}
	}
	return true
}

func (m *keySet) parse() error {
	if len(m.files[0]) > 0 {
		certificate, err := tls.X509KeyPair(m.files[0], m.files[1])
		if err != nil {
			return eris.Wrap(err, "parse certificate and private key")
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

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the keys current at that time.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.currentServerConfig(), nil },
	}
}

func (k *Keys) currentServerConfig() *tls.Config {
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

// ClientConfig returns the TLS configuration of one outgoing connection with the current keys.
func (k *Keys) ClientConfig() *tls.Config {
	m := k.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.authorities, ServerName: k.config.ServerName}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	return c
}

// Dial returns a dial function that performs a TLS handshake on connections from dial. Nil means net.Dialer.
func (k *Keys) Dial(dial gladeapi.Dial) gladeapi.Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, k.ClientConfig())
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "TLS with %s", address)
		}
		return c, nil
	}
}

// Listen returns a listen function whose connections start the TLS handshake when they are accepted.
// Nil means net.Listen.
func (k *Keys) Listen(listen gladeapi.Listen) gladeapi.Listen {
	if listen == nil {
		listen = net.Listen
	}
	return func(network, address string) (net.Listener, error) {
		l, err := listen(network, address)
		if err != nil {
			return nil, err
		}
		return &listener{Listener: l, config: k.ServerConfig()}, nil
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
