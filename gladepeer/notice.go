package gladepeer

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"
)

const (
	methodNotice = "notice"
	// noticeFanout is the number of members of the failure domain that each VM passes a notice on to.
	noticeFanout = 4
	// noticeRemote is the number of members of each other failure domain that the first VM tells.
	noticeRemote    = 2
	maxNoticeBytes  = 16 << 10
	noticeIDLetters = 12
)

// notice is a small urgent message on its way to all VMs.
type notice struct {
	ID     string          `json:"id"`
	Name   string          `json:"name"`
	Origin string          `json:"origin"`
	Body   json.RawMessage `json:"body"`
}

// HandleNotice registers what to do with the notices of a name, each of which arrives at most once.
func HandleNotice[T any](n *Node, name string, f func(origin string, body T)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices[name] = func(origin string, raw json.RawMessage) error {
		var body T
		if err := json.Unmarshal(raw, &body); err != nil {
			return eris.Wrapf(err, "notice %q", name)
		}
		f(origin, body)
		return nil
	}
}

// Notify passes a small message to most live VMs within a few hops; what must reach all is published as a fact too.
func Notify[T any](n *Node, name string, body T) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return eris.Wrapf(err, "notice %q", name)
	}
	if len(raw) > maxNoticeBytes {
		return eris.Wrapf(ErrTooLarge, "notice %q has %d bytes", name, len(raw))
	}
	m := notice{ID: rand.Text()[:noticeIDLetters], Name: name, Origin: n.Self().Name, Body: raw}
	n.mu.Lock()
	n.seen.Add(m.ID, struct{}{})
	live := n.liveByDomain()
	var to []string
	for domain, members := range live {
		if domain != n.self.FailureDomain {
			to = append(to, namesOf(pick(members, noticeRemote))...)
		}
	}
	to = append(to, namesOf(pick(live[n.self.FailureDomain], noticeFanout))...)
	n.mu.Unlock()
	n.pass(&m, to)
	return nil
}

func namesOf(members []*Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

func (n *Node) serveNotice(_ context.Context, _ string, m notice) (struct{}, error) {
	n.mu.Lock()
	if n.seen.Contains(m.ID) {
		n.mu.Unlock()
		return struct{}{}, nil
	}
	n.seen.Add(m.ID, struct{}{})
	f := n.notices[m.Name]
	to := namesOf(pick(n.liveByDomain()[n.self.FailureDomain], noticeFanout))
	n.mu.Unlock()
	if f == nil {
		return struct{}{}, eris.Errorf("no such notice: %q", m.Name)
	}
	if err := f(m.Origin, m.Body); err != nil {
		return struct{}{}, err
	}
	n.pass(&m, to)
	return struct{}{}, nil
}

// pass sends a notice on without waiting for answers.
func (n *Node) pass(m *notice, to []string) {
	for _, name := range to {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			if _, err := Call[*notice, struct{}](ctx, n, name, methodNotice, m); err != nil {
				n.log.Debug("Notice not passed on.", "vm", name, "error", err)
			}
		}()
	}
}
