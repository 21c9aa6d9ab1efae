package gladedaemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

func getOperators(c *qt.C, v *gladecluster.VM, path, token string) (int, []byte) {
	client := v.Client()
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+v.Daemon.OperatorsAddress()+path, nil)
	c.Assert(err, qt.IsNil)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, body
}

func status(c *qt.C, v *gladecluster.VM, path, token string) int {
	code, _ := getOperators(c, v, path, token)
	return code
}

func TestExplainAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k, closeCluster, err := gladecluster.New(gladecluster.Config{Network: &gladewire.Network{}, VMs: 4})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		caller, closeCaller := k.Caller()
		defer closeCaller()
		time.Sleep(5 * time.Second)
		time.AfterFunc(500*time.Millisecond, k.VMs[0].Kill)
		a := caller.Generate(t.Context(), gladecaller.Request{
			Model: gladecluster.ModelName, Prompt: "explain", MaxTokens: 100, Key: "k", Stream: true, Entry: k.VMs[0].Name,
		})
		c.Assert(a.Complete(), qt.IsTrue)
		for _, v := range k.LiveVMs() {
			_, body := getOperators(c, v, "/explain/"+a.RequestID(), "")
			var e gladedaemon.Explanation
			c.Assert(json.Unmarshal(body, &e), qt.IsNil)
			c.Assert(e.Answered, qt.Equals, 3)
			c.Assert(e.Unanswered, qt.HasLen, 1)
			c.Assert(e.Unanswered[0].VM, qt.Equals, k.VMs[0].Name)
			var events []string
			for i, entry := range e.Entries {
				c.Assert(i == 0 || !entry.At.Before(e.Entries[i-1].At), qt.IsTrue)
				events = append(events, entry.Event)
			}
			c.Assert(events, qt.Contains, "takeover")
			c.Assert(events, qt.Contains, "join")
		}
		c.Assert(status(c, k.VMs[1], "/explain/unknown", ""), qt.Equals, http.StatusNotFound)
	})
}

func TestOperatorsNeedToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		path := filepath.Join(t.TempDir(), "token")
		c.Assert(os.WriteFile(path, []byte("first\n"), 0o600), qt.IsNil)
		k, closeCluster, err := gladecluster.New(gladecluster.Config{
			Network: &gladewire.Network{}, VMs: 1,
			Settings: func(s *gladeconfig.Settings) { s.Operators.TokenFile = path },
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		for _, p := range []string{"/dump", "/metrics", "/explain/x", "/notes", "/notes/status", "/nothing"} {
			c.Assert(status(c, k.VMs[0], p, ""), qt.Equals, http.StatusUnauthorized)
			c.Assert(status(c, k.VMs[0], p, "wrong"), qt.Equals, http.StatusUnauthorized)
		}
		c.Assert(status(c, k.VMs[0], "/dump", "first"), qt.Equals, http.StatusOK)
		c.Assert(os.WriteFile(path, []byte("second"), 0o600), qt.IsNil)
		c.Assert(status(c, k.VMs[0], "/dump", "first"), qt.Equals, http.StatusUnauthorized)
		c.Assert(status(c, k.VMs[0], "/dump", "second"), qt.Equals, http.StatusOK)
	})
}

func TestUnprotectedOperatorsListenerIsRefused(t *testing.T) {
	c := qt.New(t)
	s := gladeconfig.Default()
	s.VM = gladeconfig.VM{Name: "vm", FailureDomain: "shubra"}
	s.Operators.Listen = "shubra-vm-1:8081"
	w := (&gladewire.Network{}).Host("shubra-vm-1")
	_, _, err := gladedaemon.New(gladedaemon.Config{Settings: s, Dial: w.Dial, Listen: w.Listen})
	c.Assert(err, qt.IsNotNil)
}
