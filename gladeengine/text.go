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

// spaceMarks are the characters by which tokenizers show a space or a line break in the text of a token.
const spaceMarks = "\u0120\u010a\u2581 \n"

// textToken returns the negative identifier that stands for a text whose token the engine did not tell.
func textToken(text string) int32 {
	return -1 - int32(xxhash.Sum64String(text)&math.MaxInt32)
}

func isTextToken(id int32) bool {
	return id < 0
}

// retokenize replaces delivered text by the engine's own tokens, if each of them has the text that was delivered.
func (c *Client) retokenize(ctx context.Context, o *gladestream.OpenRequest) error {
	if !slices.ContainsFunc(o.Delivered, isTextToken) {
		return nil
	}
	model := o.Generation.Target.String()
	before := ""
	if len(o.PromptTokens) == 0 {
		before = o.Generation.Prompt
		ids, err := c.Tokenize(ctx, o.Backend, TokenizeRequest{Model: model, Prompt: before})
		if err != nil {
			return err
		}
		o.PromptTokens = ids
	}
	whole, err := c.tokenize(ctx, o.Backend, TokenizeRequest{
		Model: model, Prompt: before + strings.Join(o.Texts, ""), ReturnTokenStrs: true,
	})
	if err != nil {
		return err
	}
	if before != "" {
		whole, err = cutPrompt(&whole, o.PromptTokens)
	}
	if err != nil {
		return err
	}
	return sameTokens(o, &whole)
}

// cutPrompt removes the prompt's tokens from those of the prompt with the delivered text.
func cutPrompt(whole *TokenizeResponse, prompt []int32) (TokenizeResponse, error) {
	n := len(prompt)
	if len(whole.Tokens) < n || !slices.Equal(whole.Tokens[:n], prompt) || len(whole.TokenStrs) != len(whole.Tokens) {
		return TokenizeResponse{}, eris.Wrap(gladestream.ErrNotResumable, "the engine reads the prompt differently with the text")
	}
	return TokenizeResponse{Tokens: whole.Tokens[n:], TokenStrs: whole.TokenStrs[n:]}, nil
}

// sameTokens takes the engine's reading of the delivered text if it is token for token what was delivered.
func sameTokens(o *gladestream.OpenRequest, read *TokenizeResponse) error {
	if len(read.Tokens) != len(o.Delivered) || len(read.TokenStrs) != len(o.Delivered) {
		return eris.Wrapf(gladestream.ErrNotResumable, "the engine reads %d tokens of text as %d", len(o.Delivered), len(read.Tokens))
	}
	for i, id := range o.Delivered {
		same := read.Tokens[i] == id
		if isTextToken(id) {
			same = strings.Trim(read.TokenStrs[i], spaceMarks) == strings.Trim(o.Texts[i], spaceMarks)
		}
		if !same {
			return eris.Wrapf(gladestream.ErrNotResumable, "the engine reads token %d of the text as another", i)
		}
	}
	o.Delivered = read.Tokens
	return nil
}
