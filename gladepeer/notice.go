package gladepeer

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"
)

const (
	methodNotice = "notice"
	// noticeFanout is the number of members of its failure domain that each VM sends a notice to.
	noticeFanout = 4
	// remoteNoticeFanout is the number of members of each other failure domain that the originating VM sends a notice to.
	remoteNoticeFanout = 2
	maxNoticeBytes     = 16 << 10
	noticeIDLength     = 12
)

// notice is a small urgent message that is flooded to all VMs.
type notice struct {
	ID     string          `json:"id"`
	Name   string          `json:"name"`
	Origin string          `json:"origin"`
	Body   json.RawMessage `json:"body"`
}

// HandleNotice registers the handler of notices with a name. It is called at most once for each notice.
func HandleNotice[T any](n *Node, name string, f func(origin string, body T)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noticeHandlers[name] = func(origin string, raw json.RawMessage) error {
		var body T
		if err := json.Unmarshal(raw, &body); err != nil {
			return eris.Wrapf(err, "notice %q", name)
		}
		f(origin, body)
		return nil
	}
}

// Notify sends a small message that reaches most live VMs within a few hops.
//
// Delivery to every VM is not guaranteed; values that all VMs need must also be published as a fact.
// A body above 16 KiB gives ErrTooLarge.
func Notify[T any](n *Node, name string, body T) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return eris.Wrapf(err, "notice %q", name)
	}
	if len(raw) > maxNoticeBytes {
		return eris.Wrapf(ErrTooLarge, "notice %q has %d bytes", name, len(raw))
	}
	m := notice{ID: rand.Text()[:noticeIDLength], Name: name, Origin: n.Self().Name, Body: raw}
	n.mu.Lock()
	n.seenNotices.Add(m.ID, struct{}{})
	live := n.liveByDomain()
	var to []string
	for domain, members := range live {
		if domain != n.self.FailureDomain {
			to = append(to, namesOf(randomSample(members, remoteNoticeFanout))...)
		}
	}
	to = append(to, namesOf(randomSample(live[n.self.FailureDomain], noticeFanout))...)
	n.mu.Unlock()
	n.forwardNotice(&m, to)
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
	if n.seenNotices.Contains(m.ID) {
		n.mu.Unlock()
		return struct{}{}, nil
	}
	n.seenNotices.Add(m.ID, struct{}{})
	f := n.noticeHandlers[m.Name]
	to := namesOf(randomSample(n.liveByDomain()[n.self.FailureDomain], noticeFanout))
	n.mu.Unlock()
	if f == nil {
		return struct{}{}, eris.Errorf("no such notice: %q", m.Name)
	}
	if err := f(m.Origin, m.Body); err != nil {
		return struct{}{}, err
	}
	n.forwardNotice(&m, to)
	return struct{}{}, nil
}

// forwardNotice sends a notice to the named members and does not wait for responses.
func (n *Node) forwardNotice(m *notice, to []string) {
	for _, name := range to {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			if _, err := Call[*notice, struct{}](ctx, n, name, methodNotice, m); err != nil {
				n.log.Debug("Notice not forwarded.", "vm", name, "error", err)
			}
		}()
	}
}
