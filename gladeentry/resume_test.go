package gladeentry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladeentry"
)

const streamBody = `{"model":"glade-llm","prompt":"` + prompt + `","max_tokens":60,"seed":5,"stream":true}`

// open requests a streamed completion with a key and the identifier of the last event that the caller received.
func open(ctx context.Context, c *qt.C, v *gladecluster.VM, key, last string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, v.URL()+"/v1/completions", strings.NewReader(streamBody))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+gladecluster.APIKey)
	r.Header.Set(gladeentry.HeaderIdempotencyKey, key)
	if last != "" {
		r.Header.Set(gladeentry.HeaderLastEventID, last)
	}
	client := v.Client()
	c.Cleanup(client.CloseIdleConnections)
	response, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	return response
}

// readEvents reads at most limit events, and returns their text and the last identifier.
func readEvents(c *qt.C, response *http.Response, limit int) (text, last string) {
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for limit > 0 && scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			last = id
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var a gladeentry.Answer
		c.Assert(json.Unmarshal([]byte(data), &a), qt.IsNil)
		text += *a.Choices[0].Text
		limit--
	}
	return text, last
}

func TestReconnectReturnsRemainingTokens(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, _ openai.Client) {
		v := k.VMs[0]
		first, last := readEvents(c, open(c.Context(), c, v, "brief-1", ""), 20)
		c.Assert(first, qt.Equals, expectedText(prompt, 20))
		time.Sleep(200 * time.Millisecond)
		rest, _ := readEvents(c, open(c.Context(), c, v, "brief-1", last), 100)
		c.Assert(first+rest, qt.Equals, expectedText(prompt, 60))
	})
}

func TestReconnectWithUnknownPositionIsGone(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, _ openai.Client) {
		v := k.VMs[0]
		_, last := readEvents(c, open(c.Context(), c, v, "brief-2", ""), 20)
		index, _, _ := strings.Cut(last, "-")
		for _, position := range []string{index + "-abcdef", "59-1"} {
			response := open(c.Context(), c, v, "brief-2", position)
			c.Assert(response.StatusCode, qt.Equals, http.StatusGone)
			response.Body.Close()
		}
		response := open(c.Context(), c, v, "never-seen", last)
		c.Assert(response.StatusCode, qt.Equals, http.StatusGone)
		response.Body.Close()
	})
}

func TestRunWithoutReaderStopsAfterGrace(t *testing.T) {
	withCluster(t, func(c *qt.C, k *gladecluster.Cluster, _ openai.Client) {
		readEvents(c, open(c.Context(), c, k.VMs[0], "brief-3", ""), 3)
		c.Assert(running(k), qt.Equals, 1)
		time.Sleep(3 * time.Second)
		c.Assert(running(k), qt.Equals, 0)
	})
}
