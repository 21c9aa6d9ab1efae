package gladeclient

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// Guards against clients of groups that stay after their last call: each run of a generation makes one.
func TestUnusedGroupsAreRemoved(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	l, closeClient := New(Config{
		Identify: func(http.Header, string) {}, Decode: func(http.Header) gladesend.AnswerInfo { return gladesend.AnswerInfo{} },
	})
	defer closeClient()
	call := func(group string) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.URL, strings.NewReader("x"))
		c.Assert(err, qt.IsNil)
		response, err := l.Do(request, group)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	call("learns that answers name no call")
	for n := range 5 {
		call(fmt.Sprint("run-", n))
	}
	c.Assert(l.groups, qt.HasLen, 5)
	l.SetResult("run-3", "copy")
	c.Assert(l.GroupOf("copy"), qt.Equals, "run-3")
	l.take("run-4") // its call is in progress
	l.closeGroups(time.Now().Add(time.Hour))
	c.Assert(l.groups, qt.HasLen, 1)
	c.Assert(l.GroupOf("copy"), qt.Equals, "")
}
