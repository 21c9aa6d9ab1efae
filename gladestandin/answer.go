package gladestandin

import (
	"io"
	"net/http"
)

// AnswerWith returns a handler that answers a request with the bytes of a response, which may be one that net/http's server refuses to
// write, and keeps the connection open until the client closes it.
func AnswerWith(response string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response)
		_, _ = io.Copy(io.Discard, conn)
	})
}
