package gladeengine

import (
	"context"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// spaceMarkers are the characters that tokenizers use for a space or a line break in the text of a token.
const spaceMarkers = "\u0120\u010a\u2581 \n"

// placeholderToken returns a negative identifier for a text whose token the engine did not report.
func placeholderToken(text string) int32 {
	return -1 - int32(xxhash.Sum64String(text)&math.MaxInt32)
}

func isPlaceholder(id int32) bool {
	return id < 0
}

// retokenize replaces the placeholders of delivered text by the engine's tokens. It fails with ErrNotResumable unless
// each token has the text that was delivered.
func (c *Client) retokenize(ctx context.Context, o *gladestream.OpenRequest) error {
	if !slices.ContainsFunc(o.Delivered, isPlaceholder) {
		return nil
	}
	model := o.Generation.Target.String()
	promptText := ""
	if len(o.PromptTokens) == 0 {
		promptText = o.Generation.Prompt
		ids, err := c.Tokenize(ctx, o.Backend, TokenizeRequest{Model: model, Prompt: promptText})
		if err != nil {
			return err
		}
		o.PromptTokens = ids
	}
	tokenized, err := c.tokenize(ctx, o.Backend, TokenizeRequest{
		Model: model, Prompt: promptText + strings.Join(o.Texts, ""), ReturnTokenStrs: true,
	})
	if err != nil {
		return err
	}
	if promptText != "" {
		tokenized, err = trimPromptTokens(&tokenized, o.PromptTokens)
	}
	if err != nil {
		return err
	}
	return adoptTokens(o, &tokenized)
}

// trimPromptTokens removes the prompt's tokens from the tokens of the prompt followed by the delivered text.
func trimPromptTokens(tokenized *TokenizeResponse, prompt []int32) (TokenizeResponse, error) {
	n := len(prompt)
	if len(tokenized.Tokens) < n || !slices.Equal(tokenized.Tokens[:n], prompt) || len(tokenized.TokenStrs) != len(tokenized.Tokens) {
		return TokenizeResponse{}, eris.Wrap(gladestream.ErrNotResumable, "the engine reads the prompt differently with the text")
	}
	return TokenizeResponse{Tokens: tokenized.Tokens[n:], TokenStrs: tokenized.TokenStrs[n:]}, nil
}

// adoptTokens replaces the delivered tokens by the engine's tokens of the same text if they match one by one.
func adoptTokens(o *gladestream.OpenRequest, tokenized *TokenizeResponse) error {
	if len(tokenized.Tokens) != len(o.Delivered) || len(tokenized.TokenStrs) != len(o.Delivered) {
		return eris.Wrapf(gladestream.ErrNotResumable, "the engine reads %d tokens of text as %d", len(o.Delivered), len(tokenized.Tokens))
	}
	for i, id := range o.Delivered {
		same := tokenized.Tokens[i] == id
		if isPlaceholder(id) {
			same = strings.Trim(tokenized.TokenStrs[i], spaceMarkers) == strings.Trim(o.Texts[i], spaceMarkers)
		}
		if !same {
			return eris.Wrapf(gladestream.ErrNotResumable, "the engine reads token %d of the text as another", i)
		}
	}
	o.Delivered = tokenized.Tokens
	return nil
}
