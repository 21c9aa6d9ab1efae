package gladecluster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const prompt = "read the return manifest"

func expectedText(tokens int, seed int64) string {
	s := gladestandin.NewSequence(ModelName+"@1", seed, gladestandin.Tokenize(prompt))
	var text string
	for range tokens {
		id, _ := s.Next()
		text += gladestandin.TokenText(id)
	}
	return text
}

func complete(c *qt.C, v *VM, tokens int) string {
	client := v.Client()
	defer client.CloseIdleConnections()
	body, _ := json.Marshal(map[string]any{
		"model": ModelName, "prompt": prompt, "max_tokens": tokens, "seed": 1, "ignore_eos": true,
	})
	r, err := http.NewRequest(http.MethodPost, v.URL()+"/v1/completions", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+APIKey)
	response, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	var a gladeentry.Answer
	c.Assert(json.NewDecoder(response.Body).Decode(&a), qt.IsNil)
	return *a.Choices[0].Text
}

func TestGenerationSurvivesEngineDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		check := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		k, closeCluster, err := New(Config{Network: &gladewire.Network{}, Engines: 3, Check: check})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		time.AfterFunc(300*time.Millisecond, func() {
			busy := slices.DeleteFunc(k.LiveEngines(), func(e *Server) bool { return e.Engine.ActiveStreams() == 0 })
			for _, e := range busy {
				e.Kill()
			}
		})
		c.Assert(complete(c, k.VMs[0], 100), qt.Equals, expectedText(100, 1))
	})
}
