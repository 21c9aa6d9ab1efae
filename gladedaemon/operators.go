package gladedaemon

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladetls"
)

var (
	errUnprotectedOperators = eris.New("operators' listener has no credentials and is neither on loopback nor insecure")
	errNoToken              = eris.New("token file is empty")
)

func (d *Daemon) addOperators() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.kernel.Dump()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	handleProfiles(mux)
	if err := d.handleExplain(mux); err != nil {
		return err
	}
	if err := d.handleNotes(mux); err != nil {
		return err
	}
	h, err := d.requireOperator(mux)
	if err != nil {
		return err
	}
	listen, err := d.operatorsListen()
	if err != nil {
		return err
	}
	address, _, err := d.serveOn(listen, d.settings.Operators.Listen, h)
	d.operatorsAddress = address
	return err
}

// operatorsListen returns the listen function for the operators' address, with TLS if the settings name a certificate.
func (d *Daemon) operatorsListen() (gladeapi.Listen, error) {
	o := &d.settings.Operators
	if !o.TLS.Enabled() {
		return d.listen, nil
	}
	keys, closeKeys, err := gladetls.New(gladetls.Config{
		Cert: o.TLS.Cert, Key: o.TLS.Key, CA: o.TLS.CA, CertificateOptional: o.TokenFile != "" || o.Insecure || o.TLS.CA == "",
		Interval: o.TLS.Reload.D(), Log: d.log.Named("operators"),
	})
	if err != nil {
		return nil, err
	}
	d.kernel.OnClose(closeKeys)
	return keys.Listen(d.listen), nil
}

// requireOperator rejects requests that have neither a client certificate of the configured authority nor the token. If
// neither is configured, it allows all requests, but only on a loopback address or if the settings say insecure.
func (d *Daemon) requireOperator(h http.Handler) (http.Handler, error) {
	o := &d.settings.Operators
	if o.TLS.CA == "" && o.TokenFile == "" {
		if o.Insecure || gladeconfig.IsLoopback(o.Listen) {
			return h, nil
		}
		return nil, eris.Wrap(errUnprotectedOperators, o.Listen)
	}
	if o.TokenFile != "" {
		if _, err := readToken(o.TokenFile); err != nil {
			return nil, err
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isOperator(r, o.TokenFile) {
			http.Error(w, "operators show a certificate or a bearer token", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	}), nil
}

func isOperator(r *http.Request, tokenFile string) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	if tokenFile == "" {
		return false
	}
	want, err := readToken(tokenFile)
	got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return err == nil && ok && subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

// readToken reads the token file. It is called for each request, so that the token can be replaced without a restart.
func readToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read operators' token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", eris.Wrap(errNoToken, path)
	}
	return token, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
