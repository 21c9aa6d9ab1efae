package gladeconfig

import (
	"net"
	"time"
)

// TLS configures TLS for one listener. Cert, Key and CA are paths of PEM files.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA holds the certificate authorities that are accepted for the certificate of the remote side.
	CA string `toml:"ca"`
	// ServerName is the name that the certificates of VMs must contain.
	ServerName string `toml:"serverName"`
	// Reload is the time between checks of the files for changes.
	Reload Duration `toml:"reload"`
}

func defaultTLS() TLS {
	return TLS{Reload: Duration(30 * time.Second)}
}

// Enabled reports whether TLS is configured.
func (t *TLS) Enabled() bool {
	return t.Cert != ""
}

func (t *TLS) check(section string, report reporter) {
	if (t.Cert == "") != (t.Key == "") {
		report(section+".tls", "cert and key must be set together")
	}
	report.positive(section+".tls.reload", t.Reload)
}

// Operators configures the listener for operators, which serves metrics and dumps and accepts release notes.
type Operators struct {
	Listen string `toml:"listen"`
	TLS    TLS    `toml:"tls"`
	// TokenFile is the path of a file with the bearer token that operators may send instead of a certificate.
	TokenFile string `toml:"tokenFile"`
	// Insecure allows a listener without authentication, at which any client can read and change the state of the system.
	Insecure bool `toml:"insecure"`
}

func defaultOperators() Operators {
	return Operators{Listen: "127.0.0.1:8081", TLS: defaultTLS()}
}

func (o *Operators) check(report reporter) {
	report.address("operators.listen", o.Listen)
	o.TLS.check("operators", report)
	if o.Insecure || IsLoopback(o.Listen) {
		return
	}
	if !o.TLS.Enabled() {
		report("operators.tls", "must be set unless the listener is on loopback or operators.insecure is true")
	}
	if o.TLS.CA == "" && o.TokenFile == "" {
		report("operators", "tls.ca or tokenFile must be set, so that only operators get in")
	}
}

// IsLoopback reports whether the address of a listener is a loopback address with a port.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
