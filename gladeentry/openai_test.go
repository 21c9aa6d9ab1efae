package gladeentry_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

const prompt = "write the quote letter"

// withCluster runs a test against a small cluster in virtual time.
func withCluster(t *testing.T, f func(c *qt.C, k *gladecluster.Cluster, client openai.Client)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		check := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		k, closeCluster, err := gladecluster.New(gladecluster.Config{
			Network: &gladewire.Network{},
			Check:   check,
			Settings: func(s *gladeconfig.Settings) {
				s.Entry.LameDuck = gladeconfig.Duration(time.Second)
				s.Entry.ReconnectGrace = gladeconfig.Duration(time.Second)
			},
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		v := k.VMs[0]
		httpClient := v.Client()
		defer httpClient.CloseIdleConnections()
		f(c, k, openai.NewClient(
			option.WithBaseURL(v.URL()+"/v1"),
			option.WithAPIKey(gladecluster.APIKey),
			option.WithHTTPClient(httpClient),
			option.WithMaxRetries(0),
		))
	})
}

func expectedText(text string, tokens int) (all string) {
	s := gladestandin.NewSequence(gladecluster.ModelName+"@1", 5, gladestandin.Tokenize(text))
	for range tokens {
		id, _ := s.Next()
		all += gladestandin.TokenText(id)
	}
	return all
}

func completionParams(tokens int64) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model:     gladecluster.ModelName,
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(tokens),
		Seed:      openai.Int(5),
	}
}

func TestOpenAIClientCompletion(t *testing.T) {
	withCluster(t, func(c *qt.C, _ *gladecluster.Cluster, client openai.Client) {
		answer, err := client.Completions.New(c.Context(), completionParams(20))
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Choices[0].Text, qt.Equals, expectedText(prompt, 20))
		c.Assert(string(answer.Choices[0].FinishReason), qt.Equals, "length")
		c.Assert(answer.Usage.CompletionTokens, qt.Equals, int64(20))
		c.Assert(answer.Usage.PromptTokens, qt.Equals, int64(4))
	})
}

func TestOpenAIClientChatStream(t *testing.T) {
	withCluster(t, func(c *qt.C, _ *gladecluster.Cluster, client openai.Client) {
		stream := client.Chat.Completions.NewStreaming(c.Context(), openai.ChatCompletionNewParams{
			Model:               gladecluster.ModelName,
			Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("two drums of fixer")},
			MaxCompletionTokens: openai.Int(15),
			Seed:                openai.Int(5),
			StreamOptions:       openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		})
		var all openai.ChatCompletionAccumulator
		for stream.Next() {
			c.Assert(all.AddChunk(stream.Current()), qt.IsTrue)
		}
		c.Assert(stream.Err(), qt.IsNil)
		c.Assert(all.Choices[0].Message.Content, qt.Equals, expectedText(`[{"content":"two drums of fixer","role":"user"}]`, 15))
		c.Assert(all.Usage.CompletionTokens, qt.Equals, int64(15))
	})
}

func TestOpenAIClientModelsAndErrors(t *testing.T) {
	withCluster(t, func(c *qt.C, _ *gladecluster.Cluster, client openai.Client) {
		models, err := client.Models.List(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(models.Data[0].ID, qt.Equals, gladecluster.ModelName)

		p := completionParams(20)
		p.Model = "no-such-model"
		_, err = client.Completions.New(c.Context(), p)
		var failure *openai.Error
		c.Assert(err, qt.ErrorAs, &failure)
		c.Assert(failure.StatusCode, qt.Equals, http.StatusNotFound)
		c.Assert(failure.Param, qt.Equals, "model")

		_, err = client.Completions.New(c.Context(), completionParams(20), option.WithAPIKey("unknown-key"))
		c.Assert(err, qt.ErrorAs, &failure)
		c.Assert(failure.StatusCode, qt.Equals, http.StatusUnauthorized)
	})
}

func TestStopStringAcrossTokensAndEngineCrash(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, client openai.Client) {
		whole := expectedText(prompt, 40)
		stop := whole[len(expectedText(prompt, 19)):][:9]
		time.AfterFunc(200*time.Millisecond, func() { killBusy(k) })
		p := completionParams(100)
		p.Stop = openai.CompletionNewParamsStopUnion{OfString: openai.String(stop)}
		answer, err := client.Completions.New(c.Context(), p)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Choices[0].Text, qt.Equals, expectedText(prompt, 19))
		c.Assert(string(answer.Choices[0].FinishReason), qt.Equals, "stop")
	})
}

// killBusy kills the engines that run a request now, but not those at which the request is resumed.
func killBusy(k *gladecluster.Cluster) {
	busy := slices.DeleteFunc(k.LiveEngines(), func(e *gladecluster.Server) bool { return e.Engine.ActiveStreams() == 0 })
	for _, e := range busy {
		e.Kill()
	}
}

func running(k *gladecluster.Cluster) (n int) {
	for _, e := range k.Engines {
		n += e.Engine.ActiveStreams()
	}
	return n
}

func TestDisconnectCancelsEngineRequest(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, client openai.Client) {
		ctx, cancel := context.WithTimeout(c.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Completions.New(ctx, completionParams(10_000))
		c.Assert(err, qt.IsNotNil)
		time.Sleep(time.Second)
		c.Assert(running(k), qt.Equals, 0)
	})
}

func TestSameKeySharesOneGeneration(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, client openai.Client) {
		key := option.WithHeader("Idempotency-Key", "quote-17")
		texts := make(chan string)
		for range 3 {
			go func() {
				answer, err := client.Completions.New(c.Context(), completionParams(30), key)
				c.Check(err, qt.IsNil)
				texts <- answer.Choices[0].Text
			}()
		}
		for range 3 {
			c.Check(<-texts, qt.Equals, expectedText(prompt, 30))
		}
		requests := 0
		for _, e := range k.Engines {
			requests += e.Engine.Counts().Requests
		}
		c.Assert(requests, qt.Equals, 1)

		_, err := client.Completions.New(c.Context(), completionParams(31), key)
		var failure *openai.Error
		c.Assert(err, qt.ErrorAs, &failure)
		c.Assert(failure.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
	})
}

func TestDrainCompletesAllRequests(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, client openai.Client) {
		stopped := make(chan struct{})
		time.AfterFunc(200*time.Millisecond, func() {
			k.VMs[0].Stop()
			close(stopped)
		})
		// The balancer reacts late, so this request arrives after the stop has begun.
		time.AfterFunc(700*time.Millisecond, func() {
			answer, err := client.Completions.New(c.Context(), completionParams(300))
			c.Check(err, qt.IsNil)
			c.Check(answer.Choices[0].Text, qt.Equals, expectedText(prompt, 300))
		})
		answer, err := client.Completions.New(c.Context(), completionParams(600))
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Choices[0].Text, qt.Equals, expectedText(prompt, 600))
		<-stopped
		_, err = client.Completions.New(c.Context(), completionParams(1))
		c.Assert(err, qt.IsNotNil)
	})
}
