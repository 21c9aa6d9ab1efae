package gladedaemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// NoteAnswer is the response to a submission. It holds the summary of the accepted note or all errors.
type NoteAnswer struct {
	Accepted *gladenote.Summary `json:"accepted,omitempty"`
	Errors   []string           `json:"errors,omitempty"`
}

// handleNotes registers the operators' routes for release notes.
func (d *Daemon) handleNotes(mux *http.ServeMux) error {
	var n *Notes
	if err := lookup(d, ServiceNotes, &n); err != nil {
		return err
	}
	mux.HandleFunc("POST /notes", n.serveSubmit)
	mux.HandleFunc("GET /notes", n.serveList)
	mux.HandleFunc("GET /notes/status", n.serveStatus)
	return nil
}

func (n *Notes) serveSubmit(w http.ResponseWriter, r *http.Request) {
	note, err := readNote(w, r)
	if err == nil {
		// The write must be completed even if the caller disconnects.
		note, err = n.replica.Submit(context.WithoutCancel(r.Context()), note)
	}
	if err != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(submitStatus(err))
		writeJSON(w, NoteAnswer{Errors: errorMessages(err)})
		return
	}
	n.log.Info("Note accepted.", "number", note.Number, "author", note.Author, "title", note.Title)
	summary := note.Summary()
	writeJSON(w, NoteAnswer{Accepted: &summary})
}

func readNote(w http.ResponseWriter, r *http.Request) (gladenote.Note, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, gladestore.MaxObjectBytes))
	if err != nil {
		return gladenote.Note{}, errors.Join(gladestore.ErrTooLarge, err)
	}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "application/toml") {
		return gladenote.ParseTOML(body)
	}
	return gladenote.ParseJSON(body)
}

func submitStatus(err error) int {
	switch {
	case errors.Is(err, gladenote.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, gladenote.ErrInvalid):
		return http.StatusUnprocessableEntity
	case errors.Is(err, gladestore.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// errorMessages returns the messages of joined errors.
func errorMessages(err error) []string {
	return strings.Split(err.Error(), "\n")
}

func (n *Notes) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.State().Recent)
}

func (n *Notes) serveStatus(w http.ResponseWriter, r *http.Request) {
	number := n.State().Number
	if text := r.URL.Query().Get("number"); text != "" {
		var err error
		if number, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "number: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, n.Status(r.Context(), number))
}

// unreachableVMs returns the listed VMs that are not live members, by failure domain.
func unreachableVMs(node *gladepeer.Node, listed []gladeapi.EntryVM) map[string][]string {
	live := map[string]bool{node.Self().Name: true}
	for _, m := range node.Members() {
		live[m.Name] = true
	}
	silent := map[string][]string{}
	for _, v := range listed {
		if !live[v.Name] {
			silent[v.FailureDomain] = append(silent[v.FailureDomain], v.Name)
		}
	}
	return silent
}
