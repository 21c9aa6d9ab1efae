package gladeconfig

import (
	"net"
	"time"
)

// TLS names the PEM files of one listener's keys.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA holds the authorities that the other side's certificate must come from.
	CA string `toml:"ca"`
	// ServerName is the name that the certificates of VMs carry.
	ServerName string `toml:"serverName"`
	// Reload is the time between looks at the files.
	Reload Duration `toml:"reload"`
}

func defaultTLS() TLS {
	return TLS{Reload: Duration(30 * time.Second)}
}

// Set reports whether the files are named.
func (t *TLS) Set() bool {
	return t.Cert != ""
}

func (t *TLS) check(section string, complain complainer) {
	if (t.Cert == "") != (t.Key == "") {
		complain(section+".tls", "cert and key must be set together")
	}
	complain.positive(section+".tls.reload", t.Reload)
}

// Operators is the listener for metrics, dumps and release notes.
type Operators struct {
	Listen string `toml:"listen"`
	TLS    TLS    `toml:"tls"`
	// TokenFile holds the bearer token that operators show instead of a certificate.
	TokenFile string `toml:"tokenFile"`
	// Insecure lets anybody who reaches the listener read and drive the system.
	Insecure bool `toml:"insecure"`
}

func defaultOperators() Operators {
	return Operators{Listen: "127.0.0.1:8081", TLS: defaultTLS()}
}

func (o *Operators) check(complain complainer) {
	complain.address("operators.listen", o.Listen)
	o.TLS.check("operators", complain)
	if o.Insecure || Loopback(o.Listen) {
		return
	}
	if !o.TLS.Set() {
		complain("operators.tls", "must be set unless the listener is on loopback or operators.insecure is true")
	}
	if o.TLS.CA == "" && o.TokenFile == "" {
		complain("operators", "tls.ca or tokenFile must be set, so that only operators get in")
	}
}

// Loopback reports whether a listener's address can only be reached from the same VM.
func Loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
