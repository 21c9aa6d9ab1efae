package gladepeer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
)

const (
	// maxSectionRows bounds the members of one failure domain in a message.
	maxSectionRows = 1024
	// maxMessageRows and maxMessageRowBytes bound the whole members in a message.
	maxMessageRows     = 64
	maxMessageRowBytes = 32 << 10
	maxNameBytes       = 255

	beatBytes  = 2
	entryBytes = 8 + 4 + beatBytes
)

// identity names one incarnation of a VM in digests.
type identity uint64

func identityOf(name, incarnation string) identity {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(incarnation)
	return identity(d.Sum64())
}

// section is the digest of one failure domain's members.
type section struct {
	Domain string `json:"d"`
	// Set is the hash of all identities and versions.
	Set uint64 `json:"s"`
	// Beats are the low bits of all beats, in the order of the identities.
	Beats []byte `json:"b,omitempty"`
	// Entries are identity, version and beat of each member, sent where the sets differ.
	Entries []byte `json:"e,omitempty"`
}

// message is the body of an exchange in both directions.
type message struct {
	// Opening marks the first message of an exchange, which the answer repeats for the other side.
	Opening  bool       `json:"o,omitempty"`
	Sections []section  `json:"s,omitempty"`
	Want     []identity `json:"w,omitempty"`
	Rows     []row      `json:"r,omitempty"`
}

func (m *message) empty() bool {
	return len(m.Sections) == 0 && len(m.Want) == 0 && len(m.Rows) == 0
}

// row is a whole member as one VM tells another.
type row struct {
	Member
	// SilentMillis is how long the sender had heard nothing of the member.
	SilentMillis int64 `json:"silentMillis,omitempty"`
}

type domainRow struct {
	id     identity
	member *Member
}

// domainRows returns the known members of a failure domain, this VM included, by identity; n.mu is held.
func (n *Node) domainRows(domain string) []domainRow {
	var rs []domainRow
	if domain == n.self.FailureDomain {
		rs = append(rs, domainRow{identityOf(n.self.Name, n.self.Incarnation), &n.self})
	}
	for id, m := range n.rows {
		if m.FailureDomain == domain {
			rs = append(rs, domainRow{id, m})
		}
	}
	slices.SortFunc(rs, func(a, b domainRow) int { return cmp.Compare(a.id, b.id) })
	return rs[:min(len(rs), maxSectionRows)]
}

func setOf(rs []domainRow) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [16]byte
	for _, r := range rs {
		binary.LittleEndian.PutUint64(b[:8], uint64(r.id))
		binary.LittleEndian.PutUint64(b[8:], r.member.Version)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// beats returns the short digest of a failure domain; n.mu is held.
func (n *Node) beats(domain string) section {
	rs := n.domainRows(domain)
	s := section{Domain: domain, Set: setOf(rs)}
	for _, r := range rs {
		s.Beats = binary.LittleEndian.AppendUint16(s.Beats, uint16(r.member.Beat))
	}
	return s
}

// entries returns the long digest of a failure domain; n.mu is held.
func (n *Node) entries(domain string) section {
	rs := n.domainRows(domain)
	s := section{Domain: domain, Set: setOf(rs), Entries: make([]byte, 0, len(rs)*entryBytes)}
	for _, r := range rs {
		s.Entries = binary.LittleEndian.AppendUint64(s.Entries, uint64(r.id))
		s.Entries = binary.LittleEndian.AppendUint32(s.Entries, uint32(r.member.Version))
		s.Entries = binary.LittleEndian.AppendUint16(s.Entries, uint16(r.member.Beat))
	}
	return s
}

// mergeBeats takes in a short digest if both sides hold the same set; n.mu is held.
func (n *Node) mergeBeats(s section) bool {
	rs := n.domainRows(s.Domain)
	if setOf(rs) != s.Set || len(s.Beats) != len(rs)*beatBytes {
		return false
	}
	for i, r := range rs {
		n.raise(r.member, binary.LittleEndian.Uint16(s.Beats[i*beatBytes:]))
	}
	return true
}

// mergeEntries takes in a long digest and adds to out what the two sides lack; n.mu is held.
func (n *Node) mergeEntries(s section, out *message) {
	theirs := map[identity]uint32{}
	for b := s.Entries; len(b) >= entryBytes; b = b[entryBytes:] {
		id := identity(binary.LittleEndian.Uint64(b))
		version := binary.LittleEndian.Uint32(b[8:])
		beat := binary.LittleEndian.Uint16(b[12:])
		theirs[id] = version
		m := n.rows[id]
		if m != nil {
			n.raise(m, beat)
		}
		if n.lacks(id, m, version, beat) {
			out.Want = append(out.Want, id)
		}
	}
	out.Want = out.Want[:min(len(out.Want), maxMessageRows)]
	for _, r := range n.domainRows(s.Domain) {
		version, known := theirs[r.id]
		if !known || int32(uint32(r.member.Version)-version) > 0 {
			n.addRow(out, r.member)
		}
	}
}

func (n *Node) lacks(id identity, m *Member, version uint32, beat uint16) bool {
	if id == identityOf(n.self.Name, n.self.Incarnation) {
		return false
	}
	if m != nil {
		return int32(version-uint32(m.Version)) > 0
	}
	last, forgotten := n.forgotten.Peek(id)
	return !forgotten || int16(beat-uint16(last)) > 0
}

// raise moves a beat forward to the nearest value with the given low bits; n.mu is held.
func (n *Node) raise(m *Member, low uint16) {
	ahead := int16(low - uint16(m.Beat))
	if ahead <= 0 || m == &n.self {
		return
	}
	m.Beat += uint64(ahead)
	m.Heard = n.config.Now()
}

// addRow adds a whole member to a message unless that is full; n.mu is held.
func (n *Node) addRow(out *message, m *Member) {
	size := 0
	for _, r := range out.Rows {
		size += rowBytes(&r.Member)
	}
	if len(out.Rows) > 0 && (len(out.Rows) >= maxMessageRows || size+rowBytes(m) > maxMessageRowBytes) {
		return
	}
	r := row{Member: *m}
	if m != &n.self {
		r.SilentMillis = n.config.Now().Sub(m.Heard).Milliseconds()
	}
	out.Rows = append(out.Rows, r)
}

func rowBytes(m *Member) int {
	size := len(m.Name) + len(m.FailureDomain) + len(m.PeerAddress) + len(m.EntryAddress) + len(m.Incarnation)
	for name, fact := range m.Facts {
		size += len(name) + len(fact)
	}
	return size
}

// mergeRow takes in a whole member that another VM told of; n.mu is held.
func (n *Node) mergeRow(r row) {
	id := identityOf(r.Name, r.Incarnation)
	if !valid(&r) || id == identityOf(n.self.Name, n.self.Incarnation) {
		return
	}
	if last, forgotten := n.forgotten.Peek(id); forgotten && r.Beat <= last {
		return
	}
	silent := time.Duration(r.SilentMillis) * time.Millisecond
	r.Heard = n.config.Now().Add(-silent)
	old := n.rows[id]
	if old == nil {
		if silent >= n.config.ForgetAfter {
			return
		}
		m := r.Member
		n.rows[id] = &m
		n.log.Info("Member learned.", "vm", m.Name, "failureDomain", m.FailureDomain)
		return
	}
	if r.Beat > old.Beat && r.Heard.After(old.Heard) {
		old.Heard = r.Heard
	}
	old.Beat = max(old.Beat, r.Beat)
	if r.Version <= old.Version {
		return
	}
	next := r.Member
	next.Heard, next.Beat, next.Leaving = old.Heard, old.Beat, old.Leaving || r.Leaving
	n.config.Check.That(next.Leaving || !old.Leaving, gladecheck.LeavingGetsNoWork, "%s is back from leaving", r.Name)
	*old = next
}

func valid(r *row) bool {
	for _, s := range []string{r.Name, r.FailureDomain, r.PeerAddress} {
		if s == "" || len(s) > maxNameBytes {
			return false
		}
	}
	return r.SilentMillis >= 0 && r.SilentMillis < int64(time.Hour/time.Millisecond)*24
}

// forget removes the members that have been silent for long; n.mu is held.
func (n *Node) forget() {
	now := n.config.Now()
	for id, m := range n.rows {
		if now.Sub(m.Heard) < n.config.ForgetAfter {
			continue
		}
		n.forgotten.Add(id, m.Beat)
		delete(n.rows, id)
		n.log.Info("Member forgotten.", "vm", m.Name)
	}
}
