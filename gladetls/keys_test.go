package gladetls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladetls"
)

// authority is a certificate authority for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(c *qt.C) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return &authority{key, cert}
}

// issue writes a new certificate, its private key and the authority to files in dir.
func (a *authority) issue(c *qt.C, dir, name string) gladetls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	config := gladetls.Config{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	for path, block := range map[string]*pem.Block{
		config.Cert: {Type: "CERTIFICATE", Bytes: der},
		config.Key:  {Type: "PRIVATE KEY", Bytes: private},
		config.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return config
}

// tryEcho sends a byte from a client to an echo server, each with its own keys, and returns the first error.
func tryEcho(c *qt.C, server, client *gladetls.Keys) error {
	l, err := server.Listen(nil)("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn)
		_ = conn.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := client.Dial(nil)(ctx, "tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

func newKeys(c *qt.C, config gladetls.Config) *gladetls.Keys {
	k, closeKeys, err := gladetls.New(config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(closeKeys)
	return k
}

func TestHandshakeRequiresTrustedCertificates(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	server := newKeys(c, ours.issue(c, c.TempDir(), gladetls.DefaultServerName))
	c.Assert(tryEcho(c, server, newKeys(c, ours.issue(c, c.TempDir(), gladetls.DefaultServerName))), qt.IsNil)
	c.Assert(tryEcho(c, server, newKeys(c, theirs.issue(c, c.TempDir(), gladetls.DefaultServerName))), qt.IsNotNil)
	c.Assert(tryEcho(c, newKeys(c, ours.issue(c, c.TempDir(), "other")), server), qt.IsNotNil)
	stranger := theirs.issue(c, c.TempDir(), gladetls.DefaultServerName)
	known := ours.issue(c, c.TempDir(), gladetls.DefaultServerName)
	stranger.CA = known.CA
	c.Assert(tryEcho(c, server, newKeys(c, stranger)), qt.IsNotNil)
	c.Assert(tryEcho(c, server, newKeys(c, gladetls.Config{CA: known.CA})), qt.IsNotNil)
}

func TestKeysAreReloaded(t *testing.T) {
	c := qt.New(t)
	before, after := newAuthority(c), newAuthority(c)
	serverDir, clientDir := c.TempDir(), c.TempDir()
	server := newKeys(c, before.issue(c, serverDir, gladetls.DefaultServerName))
	client := newKeys(c, before.issue(c, clientDir, gladetls.DefaultServerName))
	c.Assert(tryEcho(c, server, client), qt.IsNil)
	after.issue(c, serverDir, gladetls.DefaultServerName)
	c.Assert(server.Reload(), qt.IsNil)
	c.Assert(tryEcho(c, server, client), qt.IsNotNil)
	config := after.issue(c, clientDir, gladetls.DefaultServerName)
	c.Assert(client.Reload(), qt.IsNil)
	c.Assert(tryEcho(c, server, client), qt.IsNil)
	c.Assert(os.WriteFile(config.Key, []byte("half"), 0o600), qt.IsNil)
	c.Assert(client.Reload(), qt.IsNotNil)
	c.Assert(tryEcho(c, server, client), qt.IsNil)
}

func TestOnlyTrustedVMsBecomeMembers(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	start := func(a *authority, name string, seeds ...string) *gladepeer.Node {
		k := newKeys(c, a.issue(c, c.TempDir(), gladetls.DefaultServerName))
		n, closeNode, err := gladepeer.New(gladepeer.Config{
			Self:  gladeapi.EntryVM{Name: name, FailureDomain: "shubra", PeerAddress: "127.0.0.1:0", Incarnation: "1"},
			Seeds: seeds, Interval: 10 * time.Millisecond, Suspicion: time.Minute, Dial: k.Dial(nil), Listen: k.Listen(nil),
		})
		c.Assert(err, qt.IsNil)
		c.Cleanup(closeNode)
		return n
	}
	first := start(ours, "vm-1")
	seed := first.Self().PeerAddress
	stranger := start(theirs, "stranger", seed)
	second := start(ours, "vm-2", seed, stranger.Self().PeerAddress)
	for len(first.Members()) == 0 || len(second.Members()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(first.Members()[0].Name, qt.Equals, "vm-2")
	c.Assert(second.Members()[0].Name, qt.Equals, "vm-1")
	c.Assert(stranger.Members(), qt.HasLen, 0)
}

func TestHandshakeTimesOut(t *testing.T) {
	c := qt.New(t)
	server := newKeys(c, newAuthority(c).issue(c, c.TempDir(), gladetls.DefaultServerName))
	l, err := server.Listen(nil)("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}
