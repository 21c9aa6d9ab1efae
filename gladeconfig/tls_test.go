package gladeconfig_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
)

func TestOpenListenersAreComplainedOf(t *testing.T) {
	base := "vm.name = 'a'\nvm.failureDomain = 'shubra'\nplatform.address = 'http://10.0.0.9'\n"
	keys := "tls.cert = 'c'\n tls.key = 'k'\n"
	for _, test := range []struct {
		name, text string
		complaints string
	}{
		{"loopback", "", ""},
		{"open operators", "operators.listen = '10.0.0.1:1'", "operators.tls: must be set"},
		{"operators without authority or token", "[operators]\nlisten = '10.0.0.1:1'\n" + keys, "operators: tls.ca or tokenFile"},
		{"operators with token", "[operators]\nlisten = '10.0.0.1:1'\ntokenFile = 't'\n" + keys, ""},
		{"insecure operators", "[operators]\nlisten = '10.0.0.1:1'\ninsecure = true", ""},
		{"open peers", "peers.listen = '10.0.0.1:1'", "peers.tls: must be set"},
		{"peers without authority", "[peers]\nlisten = '10.0.0.1:1'\n" + keys, "peers.tls.ca: must be set"},
		{"peers", "[peers]\nlisten = '10.0.0.1:1'\ntls.ca = 'ca'\n" + keys, ""},
		{"key without certificate", "peers.tls.key = 'k'", "cert and key must be set together"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := gladeconfig.Parse(base + test.text)
			if test.complaints == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+test.complaints+".*")
		})
	}
}
