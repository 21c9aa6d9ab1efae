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
	// maxDigestMembers bounds the members in one digest.
	maxDigestMembers = 1024
	// maxMessageMembers bounds the number of member records in a message.
	maxMessageMembers = 64
	// maxMessageMemberBytes bounds the size of the member records in a message. A single record may exceed it.
	maxMessageMemberBytes = 32 << 10
	// maxNameBytes bounds the name, failure domain and peer address of a member.
	maxNameBytes = 255

	heartbeatBytes = 2
	// entryBytes is the size of an entry: identity, version and heartbeat.
	entryBytes = 8 + 4 + heartbeatBytes
)

// identity is the hash that identifies one incarnation of a VM in digests.
type identity uint64

func identityOf(name, incarnation string) identity {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(incarnation)
	return identity(d.Sum64())
}

// domainDigest summarises the members of one failure domain.
type domainDigest struct {
	Domain string `json:"d"`
	// SetHash is the hash of all identities and versions.
	SetHash uint64 `json:"s"`
	// Heartbeats holds the low 16 bits of each heartbeat counter, sorted by identity.
	Heartbeats []byte `json:"b,omitempty"`
	// Entries holds identity, version and heartbeat of each member. It is sent if the set hashes differ.
	Entries []byte `json:"e,omitempty"`
}

// message is the body of an exchange in both directions.
type message struct {
	// Opening marks the first message of an exchange. The reply to it includes the responder's own digests.
	Opening bool           `json:"o,omitempty"`
	Digests []domainDigest `json:"s,omitempty"`
	// Want lists the members whose records the sender needs.
	Want    []identity     `json:"w,omitempty"`
	Members []memberRecord `json:"r,omitempty"`
}

func (m *message) empty() bool {
	return len(m.Digests) == 0 && len(m.Want) == 0 && len(m.Members) == 0
}

// memberRecord is the complete state of a member on the wire.
type memberRecord struct {
	Member
	// SilentMillis is the time since the sender last received a heartbeat of the member, in milliseconds.
	SilentMillis int64 `json:"silentMillis,omitempty"`
}

type domainMember struct {
	id     identity
	member *Member
}

// domainMembers returns the known members of a failure domain, including this VM, sorted by identity.
// The caller holds n.mu.
func (n *Node) domainMembers(domain string) []domainMember {
	var rs []domainMember
	if domain == n.self.FailureDomain {
		rs = append(rs, domainMember{identityOf(n.self.Name, n.self.Incarnation), &n.self})
	}
	for id, m := range n.memberByID {
		if m.FailureDomain == domain {
			rs = append(rs, domainMember{id, m})
		}
	}
	slices.SortFunc(rs, func(a, b domainMember) int { return cmp.Compare(a.id, b.id) })
	return rs[:min(len(rs), maxDigestMembers)]
}

func setHash(rs []domainMember) uint64 {
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

// shortDigest returns the digest of a failure domain with heartbeats only. The caller holds n.mu.
func (n *Node) shortDigest(domain string) domainDigest {
	rs := n.domainMembers(domain)
	s := domainDigest{Domain: domain, SetHash: setHash(rs)}
	for _, r := range rs {
		s.Heartbeats = binary.LittleEndian.AppendUint16(s.Heartbeats, uint16(r.member.Heartbeat))
	}
	return s
}

// fullDigest returns the digest of a failure domain with identities, versions and heartbeats.
// The caller holds n.mu.
func (n *Node) fullDigest(domain string) domainDigest {
	rs := n.domainMembers(domain)
	s := domainDigest{Domain: domain, SetHash: setHash(rs), Entries: make([]byte, 0, len(rs)*entryBytes)}
	for _, r := range rs {
		s.Entries = binary.LittleEndian.AppendUint64(s.Entries, uint64(r.id))
		s.Entries = binary.LittleEndian.AppendUint32(s.Entries, uint32(r.member.Version))
		s.Entries = binary.LittleEndian.AppendUint16(s.Entries, uint16(r.member.Heartbeat))
	}
	return s
}

// mergeShortDigest merges the heartbeats of a short digest. It returns false if the two sides do not hold
// the same members and versions. The caller holds n.mu.
func (n *Node) mergeShortDigest(s domainDigest) bool {
	rs := n.domainMembers(s.Domain)
	if setHash(rs) != s.SetHash || len(s.Heartbeats) != len(rs)*heartbeatBytes {
		return false
	}
	for i, r := range rs {
		n.advanceHeartbeat(r.member, binary.LittleEndian.Uint16(s.Heartbeats[i*heartbeatBytes:]))
	}
	return true
}

// mergeFullDigest merges the heartbeats of a full digest. It adds to out the requests for records that this VM
// needs and the records that the sender needs. The caller holds n.mu.
func (n *Node) mergeFullDigest(s domainDigest, out *message) {
	remoteVersions := map[identity]uint32{}
	for b := s.Entries; len(b) >= entryBytes; b = b[entryBytes:] {
		id := identity(binary.LittleEndian.Uint64(b))
		version := binary.LittleEndian.Uint32(b[8:])
		beat := binary.LittleEndian.Uint16(b[12:])
		remoteVersions[id] = version
		m := n.memberByID[id]
		if m != nil {
			n.advanceHeartbeat(m, beat)
		}
		if n.needsMember(id, m, version, beat) {
			out.Want = append(out.Want, id)
		}
	}
	out.Want = out.Want[:min(len(out.Want), maxMessageMembers)]
	for _, r := range n.domainMembers(s.Domain) {
		version, known := remoteVersions[r.id]
		if !known || int32(uint32(r.member.Version)-version) > 0 {
			n.addMember(out, r.member)
		}
	}
}

// needsMember reports whether a digest entry is newer than the known state of the member or its tombstone.
// The caller holds n.mu.
func (n *Node) needsMember(id identity, m *Member, version uint32, beat uint16) bool {
	if id == identityOf(n.self.Name, n.self.Incarnation) {
		return false
	}
	if m != nil {
		return int32(version-uint32(m.Version)) > 0
	}
	last, forgotten := n.forgotten.Peek(id)
	return !forgotten || int16(beat-uint16(last)) > 0
}

// advanceHeartbeat increases a member's heartbeat counter to the nearest value with the given low 16 bits.
// The caller holds n.mu.
func (n *Node) advanceHeartbeat(m *Member, lowBits uint16) {
	ahead := int16(lowBits - uint16(m.Heartbeat))
	if ahead <= 0 || m == &n.self {
		return
	}
	m.Heartbeat += uint64(ahead)
	m.Heard = n.config.Now()
}

// addMember adds a member record to a message unless the message is full. The caller holds n.mu.
func (n *Node) addMember(out *message, m *Member) {
	size := 0
	for _, r := range out.Members {
		size += memberBytes(&r.Member)
	}
	if len(out.Members) > 0 && (len(out.Members) >= maxMessageMembers || size+memberBytes(m) > maxMessageMemberBytes) {
		return
	}
	r := memberRecord{Member: *m}
	if m != &n.self {
		r.SilentMillis = n.config.Now().Sub(m.Heard).Milliseconds()
	}
	out.Members = append(out.Members, r)
}

func memberBytes(m *Member) int {
	size := len(m.Name) + len(m.FailureDomain) + len(m.PeerAddress) + len(m.EntryAddress) + len(m.Incarnation)
	for name, fact := range m.Facts {
		size += len(name) + len(fact)
	}
	return size
}

// mergeMember merges a member record from another VM into the membership. The caller holds n.mu.
func (n *Node) mergeMember(r memberRecord) {
	id := identityOf(r.Name, r.Incarnation)
	if !valid(&r) || id == identityOf(n.self.Name, n.self.Incarnation) {
		return
	}
	if last, forgotten := n.forgotten.Peek(id); forgotten && r.Heartbeat <= last {
		return
	}
	silent := time.Duration(r.SilentMillis) * time.Millisecond
	r.Heard = n.config.Now().Add(-silent)
	old := n.memberByID[id]
	if old == nil {
		if silent >= n.config.ForgetAfter {
			return
		}
		m := r.Member
		if n.isSuccessor(&m) {
			n.replaceLink(&m)
		}
		n.memberByID[id] = &m
		n.log.Info("Member added.", "vm", m.Name, "failureDomain", m.FailureDomain)
		return
	}
	if r.Heartbeat > old.Heartbeat && r.Heard.After(old.Heard) {
		old.Heard = r.Heard
	}
	old.Heartbeat = max(old.Heartbeat, r.Heartbeat)
	if r.Version <= old.Version {
		return
	}
	next := r.Member
	next.Heard, next.Heartbeat, next.Leaving = old.Heard, old.Heartbeat, old.Leaving || r.Leaving
	n.config.Check.That(next.Leaving || !old.Leaving, gladecheck.LeavingGetsNoWork, "member %s is no longer leaving in the same incarnation", r.Name)
	*old = next
}

// isSuccessor reports whether a new member has been heard later than every other incarnation at its address, of which there
// is at least one. The caller holds n.mu.
func (n *Node) isSuccessor(m *Member) bool {
	found := false
	for _, o := range n.memberByID {
		if o.PeerAddress != m.PeerAddress {
			continue
		}
		if !m.Heard.After(o.Heard) {
			return false
		}
		found = true
	}
	return found
}

func valid(r *memberRecord) bool {
	for _, s := range []string{r.Name, r.FailureDomain, r.PeerAddress} {
		if s == "" || len(s) > maxNameBytes {
			return false
		}
	}
	return r.SilentMillis >= 0 && r.SilentMillis < int64(time.Hour/time.Millisecond)*24
}

// removeSilent replaces the members without a heartbeat for ForgetAfter by tombstones. The caller holds n.mu.
func (n *Node) removeSilent() {
	now := n.config.Now()
	for id, m := range n.memberByID {
		if now.Sub(m.Heard) < n.config.ForgetAfter {
			continue
		}
		n.forgotten.Add(id, m.Heartbeat)
		delete(n.memberByID, id)
		n.log.Info("Member removed after silence.", "vm", m.Name)
	}
}
