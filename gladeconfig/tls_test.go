package gladeconfig_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
)

func TestOpenListenersAreRejected(t *testing.T) {
	base := "vm.name = 'a'\nvm.failureDomain = 'shubra'\nplatform.address = 'http://10.0.0.9'\n"
	keys := "tls.cert = 'c'\n tls.key = 'k'\n"
	for _, test := range []struct {
		name, text string
		want       string
	}{
		{"loopback", "", ""},
		{"operators listener without TLS", "operators.listen = '10.0.0.1:1'", "operators.tls: must be set"},
		{"operators listener without CA or token", "[operators]\nlisten = '10.0.0.1:1'\n" + keys, "operators: tls.ca or tokenFile"},
		{"operators listener with token", "[operators]\nlisten = '10.0.0.1:1'\ntokenFile = 't'\n" + keys, ""},
		{"insecure operators listener", "[operators]\nlisten = '10.0.0.1:1'\ninsecure = true", ""},
		{"peers listener without TLS", "peers.listen = '10.0.0.1:1'", "peers.tls: must be set"},
		{"peers listener without CA", "[peers]\nlisten = '10.0.0.1:1'\n" + keys, "peers.tls.ca: must be set"},
		{"peers listener with TLS and CA", "[peers]\nlisten = '10.0.0.1:1'\ntls.ca = 'ca'\n" + keys, ""},
		{"key without certificate", "peers.tls.key = 'k'", "cert and key must be set together"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := gladeconfig.Parse(base + test.text)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+test.want+".*")
		})
	}
}
