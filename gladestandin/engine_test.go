package gladestandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladeengine"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// engineFixture is an engine on an in-memory network with a client.
type engineFixture struct {
	*qt.C
	engine *Engine
	client *http.Client
}

func runEngineTest(t *testing.T, c EngineConfig, f func(engineFixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := &gladewire.Network{}
		l, err := network.Host("engine").Listen("tcp", "engine:80")
		qt.Assert(t, err, qt.IsNil)
		s := &http.Server{}
		c.Crash = func() { _ = s.Close() }
		b := engineFixture{C: qt.New(t), engine: NewEngine(c)}
		s.Handler = b.engine
		go func() { _ = s.Serve(l) }()
		transport := &http.Transport{DialContext: network.Host("client").Dial}
		b.client = &http.Client{Transport: transport}
		b.Cleanup(func() {
			b.engine.Close()
			_ = s.Close()
			transport.CloseIdleConnections()
		})
		f(b)
	})
}

func (b engineFixture) post(q gladeengine.CompletionRequest) *http.Response {
	body, _ := json.Marshal(q)
	r, err := b.client.Post("http://engine:80/v1/completions", "application/json", bytes.NewReader(body))
	b.Assert(err, qt.IsNil)
	b.Cleanup(func() { _ = r.Body.Close() })
	return r
}

func request(id, prompt string, tokens int) gladeengine.CompletionRequest {
	text, _ := json.Marshal(prompt)
	return gladeengine.CompletionRequest{
		Model: "m@1", Prompt: text, MaxTokens: tokens, IgnoreEOS: true, Stream: true, RequestID: id,
	}
}

// readStream returns the tokens and the text of a stream and whether it had an end event.
func readStream(body io.Reader) (ids []int32, text string, done bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return ids, text, true
		}
		var c gladeengine.CompletionChunk
		_ = json.Unmarshal([]byte(data), &c)
		ids = append(ids, c.Choices[0].TokenIDs...)
		text += c.Choices[0].Text
	}
	return ids, text, false
}

func expectedTokens(prompt string, n int) []int32 {
	s := NewSequence("m@1", 0, Tokenize(prompt))
	ids := make([]int32, n)
	for i := range ids {
		ids[i], _ = s.Next()
	}
	return ids
}

func TestEngineContinuesAfterDisconnect(t *testing.T) {
	runEngineTest(t, EngineConfig{}, func(b engineFixture) {
		r := b.post(request("a.1.x", "one two", 20))
		time.Sleep(55 * time.Millisecond)
		_ = r.Body.Close()
		time.Sleep(time.Second)
		r, err := b.client.Get("http://engine:80/v1/completions/cmpl-a.1.x?starting_after=4")
		b.Assert(err, qt.IsNil)
		ids, _, done := readStream(r.Body)
		b.Assert(done, qt.IsTrue)
		b.Assert(ids, qt.DeepEquals, expectedTokens("one two", 20)[4:])
		_ = r.Body.Close()
		b.Assert(b.engine.Counts().Tokens, qt.Equals, 20)
	})
}

func TestPlainEngineAbortsOnDisconnect(t *testing.T) {
	runEngineTest(t, EngineConfig{Plain: true}, func(b engineFixture) {
		r := b.post(request("a.1.x", "one two", 20))
		time.Sleep(55 * time.Millisecond)
		_ = r.Body.Close()
		time.Sleep(time.Second)
		b.Assert(b.engine.Counts().Cancelled, qt.Equals, 1)
		b.Assert(b.engine.ActiveStreams(), qt.Equals, 0)
	})
}

func TestEngineCachesPrefixesAndCountsPrefill(t *testing.T) {
	runEngineTest(t, EngineConfig{}, func(b engineFixture) {
		prompt := strings.Repeat("word ", 40)
		for _, id := range []string{"a.1.x", "b.2.x"} {
			_, _, done := readStream(b.post(request(id, prompt, 1)).Body)
			b.Assert(done, qt.IsTrue)
		}
		n := b.engine.Counts()
		b.Assert(n.PrefillTokens, qt.Equals, 40+8)
		b.Assert(n.CachedTokens, qt.Equals, 32)
		b.Assert(n.RecomputedTokens, qt.Equals, 8)
	})
}

func TestEngineServesLowPriorityNumbersFirst(t *testing.T) {
	runEngineTest(t, EngineConfig{MaxBatch: 1}, func(b engineFixture) {
		order := make(chan string, 3)
		post := func(id string, priority int) {
			q := request(id, id, 5)
			q.Priority = priority
			go func() {
				_, _, _ = readStream(b.post(q).Body)
				order <- id
			}()
			time.Sleep(time.Millisecond)
		}
		post("first", 0)
		post("later", 5)
		post("sooner", -5)
		b.Assert([]string{<-order, <-order, <-order}, qt.DeepEquals, []string{"first", "sooner", "later"})
	})
}

func TestEngineTokenTimeGrowsWithTheBatch(t *testing.T) {
	runEngineTest(t, EngineConfig{BatchTime: 10 * time.Millisecond, PrefillTime: time.Nanosecond}, func(b engineFixture) {
		start := time.Now()
		_, _, _ = readStream(b.post(request("a", "a", 10)).Body)
		alone := time.Since(start)
		start = time.Now()
		done := make(chan struct{})
		for _, id := range []string{"b", "c"} {
			go func() {
				_, _, _ = readStream(b.post(request(id, id, 10)).Body)
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		b.Assert(time.Since(start) > alone*3/2, qt.IsTrue)
	})
}

func TestEngineRefusesUnknownTargetsAndDuplicateRequests(t *testing.T) {
	runEngineTest(t, EngineConfig{Targets: []string{"m@1"}}, func(b engineFixture) {
		q := request("a", "a", 50)
		first := b.post(q)
		b.Assert(b.post(q).StatusCode, qt.Equals, http.StatusConflict)
		q.Model = "m@2"
		b.Assert(b.post(q).StatusCode, qt.Equals, http.StatusNotFound)
		_ = first.Body.Close()
	})
}

func TestEngineFaults(t *testing.T) {
	want := expectedTokens("one two", 10)
	for _, test := range []struct {
		name   string
		faults Faults
		tokens int
		done   bool
		dead   bool
	}{
		{"none", Faults{}, 10, true, false},
		{"crash", Faults{DieAt: 4}, 4, false, true},
		{"stall", Faults{StallAt: 4}, 4, false, false},
		{"repeat", Faults{RepeatAt: 4}, 11, true, false},
		{"skip", Faults{SkipAt: 4}, 9, true, false},
		{"event of another stream", Faults{CrossAt: 4}, 11, true, false},
		{"event of the previous attempt", Faults{LateAt: 4}, 11, true, false},
		{"closed connection", Faults{BreakAt: 4}, 4, false, false},
		{"no end event", Faults{NoDone: true}, 10, false, false},
		{"no finish reason", Faults{NoEnd: true}, 10, false, false},
		{"poison words", Faults{Poison: "two"}, 0, false, true},
		{"poison fingerprint", Faults{PoisonFingerprint: PromptFingerprint("m@1", Tokenize("one two"))}, 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runEngineTest(t, EngineConfig{}, func(b engineFixture) {
				b.engine.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				body, _ := json.Marshal(request("a.2.x", "one two", 10))
				q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine:80/v1/completions", bytes.NewReader(body))
				r, err := b.client.Do(q)
				var ids []int32
				var done bool
				if err == nil {
					ids, _, done = readStream(r.Body)
					_ = r.Body.Close()
				}
				b.Check(b.engine.Dead(), qt.Equals, test.dead)
				b.Check(done, qt.Equals, test.done)
				if !test.dead {
					b.Check(ids, qt.HasLen, test.tokens)
				}
				b.Check(slices.Equal(ids[:min(len(ids), 3)], want[:min(len(ids), 3)]), qt.IsTrue)
			})
		})
	}
}

func TestEnginePauseAndResume(t *testing.T) {
	runEngineTest(t, EngineConfig{}, func(b engineFixture) {
		b.engine.SetFaults(Faults{Pause: true})
		time.AfterFunc(time.Second, func() { b.engine.SetFaults(Faults{}) })
		start := time.Now()
		ids, _, done := readStream(b.post(request("a", "one two", 10)).Body)
		b.Assert(done, qt.IsTrue)
		b.Assert(ids, qt.DeepEquals, expectedTokens("one two", 10))
		b.Assert(time.Since(start) > time.Second, qt.IsTrue)
	})
}

func TestTextOfGeneratedTokensIsTokenizedToTheSameTokens(t *testing.T) {
	ids := expectedTokens("one two", 50)
	var text string
	for _, id := range ids {
		text += TokenText(id)
	}
	qt.Assert(t, Tokenize(text), qt.DeepEquals, ids)
}
