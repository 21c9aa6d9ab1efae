package gladeserve

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against bodies that have bytes of others, as their buffers are used again, and against buffers that a body still uses.
func TestLargeBodiesAreNotMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		for i := range rapid.IntRange(2, 8).Draw(t, "bodies") {
			want := bytes.Repeat([]byte{byte('a' + i)}, rapid.IntRange(1, 300<<10).Draw(t, "size"))
			in, f := string(want), framing{length: int64(len(want))}
			if rapid.Bool().Draw(t, "chunked") {
				in, f = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(want), want), framing{chunked: true}
			}
			if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
				in = in[:len(in)/2]
			}
			body, err := readBody(bufio.NewReader(strings.NewReader(in)), f, 1<<20, nil)
			if err == nil && !bytes.Equal(body, want) {
				t.Fatalf("body %d differs", i)
			}
			bodies = append(bodies, body)
		}
		for i, b := range bodies {
			if bytes.Count(b, []byte{byte('a' + i)}) != len(b) {
				t.Fatalf("body %d was changed by a later one", i)
			}
		}
	})
}
