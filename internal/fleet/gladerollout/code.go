package gladerollout

import (
	"cmp"
	"encoding/base64"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrEncoding is returned for a report that cannot be decoded.
var ErrEncoding = eris.New("malformed roll-out evidence")

// maxCount bounds a decoded count, so that sums of reports cannot overflow.
const maxCount = 1_000_000

// serverHash shortens a server's identifier in reports to 18 bits. Two servers with one hash count as one.
func serverHash(server string) string {
	sum := xxhash.Sum64String(server)
	return base64.RawURLEncoding.EncodeToString([]byte{byte(sum), byte(sum >> 8), byte(sum >> 16)})[:3]
}

// MarshalText encodes the classes as "CLASS,BEGUN,FAILED,INCONCLUSIVE,FIRST,OPEN,GAPS", separated by semicolons. Zeros
// are left empty, empty fields at the end are left out, and a histogram is a list of "BUCKET*COUNT" joined by "+".
func (a ageCounts) MarshalText() ([]byte, error) {
	var parts []string
	for _, class := range slices.Sorted(maps.Keys(a)) {
		k := a[class]
		fields := []string{
			strconv.Itoa(class), encodeCount(k.begun), encodeCount(k.failed), encodeCount(k.inconclusive),
			k.first.encode(), k.open.encode(), k.gaps.encode(),
		}
		parts = append(parts, strings.TrimRight(strings.Join(fields, ","), ","))
	}
	return []byte(strings.Join(parts, ";")), nil
}

// UnmarshalText decodes what MarshalText has encoded.
func (a *ageCounts) UnmarshalText(text []byte) error {
	*a = ageCounts{}
	if len(text) == 0 {
		return nil
	}
	for part := range strings.SplitSeq(string(text), ";") {
		fields := strings.Split(part, ",")
		fields = append(fields, make([]string, max(0, 7-len(fields)))...)
		class, err := strconv.Atoi(fields[0])
		if err != nil || class < 0 || class >= len(ageBounds)-1 || len(fields) > 7 {
			return eris.Wrap(ErrEncoding, part)
		}
		k := &counts{}
		for i, n := range []*int{&k.begun, &k.failed, &k.inconclusive} {
			if *n, err = decodeCount(fields[1+i]); err != nil {
				return err
			}
		}
		for i, h := range []*histogram{&k.first, &k.open, &k.gaps} {
			if err := h.decode(fields[4+i]); err != nil {
				return err
			}
		}
		(*a)[class] = k
	}
	return nil
}

func encodeCount(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func decodeCount(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxCount {
		return 0, eris.Wrap(ErrEncoding, s)
	}
	return n, nil
}

func (h *histogram) encode() string {
	var parts []string
	for i, n := range h {
		switch {
		case n == 1:
			parts = append(parts, strconv.Itoa(i))
		case n > 1:
			parts = append(parts, strconv.Itoa(i)+"*"+strconv.Itoa(n))
		}
	}
	return strings.Join(parts, "+")
}

func (h *histogram) decode(s string) error {
	if s == "" {
		return nil
	}
	for part := range strings.SplitSeq(s, "+") {
		at, count, found := strings.Cut(part, "*")
		if !found {
			count = "1"
		}
		i, err := strconv.Atoi(at)
		if err != nil || i < 0 || i >= buckets {
			return eris.Wrap(ErrEncoding, part)
		}
		n, err := decodeCount(count)
		if err != nil {
			return err
		}
		h.add(i, n)
	}
	return nil
}

// MarshalText encodes the servers as "HASH:BEGUN.FAILED", separated by commas, those with most failures first.
func (s serverCounts) MarshalText() ([]byte, error) {
	order := slices.SortedFunc(maps.Keys(s), func(a, b string) int {
		return cmp.Or(cmp.Compare(s[b].failed, s[a].failed), cmp.Compare(s[b].begun, s[a].begun), cmp.Compare(a, b))
	})
	var parts []string
	for _, hash := range order[:min(len(order), maxReportedServers)] {
		part := hash + ":" + strconv.Itoa(s[hash].begun)
		if n := s[hash].failed; n > 0 {
			part += "." + strconv.Itoa(n)
		}
		parts = append(parts, part)
	}
	return []byte(strings.Join(parts, ",")), nil
}

// UnmarshalText decodes what MarshalText has encoded.
func (s *serverCounts) UnmarshalText(text []byte) error {
	*s = serverCounts{}
	if len(text) == 0 {
		return nil
	}
	for part := range strings.SplitSeq(string(text), ",") {
		hash, rest, _ := strings.Cut(part, ":")
		begun, failed, _ := strings.Cut(rest, ".")
		b, err := decodeCount(begun)
		if err != nil {
			return err
		}
		f, err := decodeCount(failed)
		if err != nil {
			return err
		}
		(*s)[hash] = serverCount{begun: b, failed: f}
	}
	return nil
}
