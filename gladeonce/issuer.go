package gladeonce

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

const (
	issuedPrefix       = "vm"
	issuedParts        = 6
	secretBytes        = 32
	macBytes           = 15
	defaultKeyLifetime = 10 * time.Minute
	defaultMaxUsedKeys = 1 << 16
	sweepInterval      = time.Second
)

// IssuedKey holds the parts of a key that a VM made.
type IssuedKey struct {
	VM          string
	Incarnation string
	// expires is the expiry, in seconds since the start of the issuer by its own clock.
	expires int64
	nonce   string
	mac     string
}

// ParseKey returns the parts of a key, or false if it does not have the form of one that a VM made. The key is not
// authenticated.
func ParseKey(key string) (IssuedKey, bool) {
	parts := strings.Split(key, ".")
	if len(parts) != issuedParts || parts[0] != issuedPrefix {
		return IssuedKey{}, false
	}
	expires, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil {
		return IssuedKey{}, false
	}
	vm, err := hex.DecodeString(parts[1])
	if err != nil {
		return IssuedKey{}, false
	}
	return IssuedKey{VM: string(vm), Incarnation: parts[2], expires: expires, nonce: parts[4], mac: parts[5]}, true
}

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	// VM is the name of this VM.
	VM string
	// Incarnation is the incarnation of this VM.
	Incarnation string
	// Lifetime is the time for which a key can be used and its outcome is kept; zero means 10 min.
	Lifetime time.Duration
	// KeptBytes is the largest body that is kept with an outcome; zero means 64 KiB.
	KeptBytes int
	// MaxKeys is the largest number of keys in use at one time; zero means 65536.
	MaxKeys int
}

// Issuer makes keys and runs the calls of the keys that it made.
type Issuer struct {
	config IssuerConfig
	secret []byte
	start  time.Time

	table keyTable
	// The mutex of the table guards the fields below.
	used      map[string]*usedKey
	lastSweep time.Time
}

type usedKey struct {
	entry   *entry
	expires int64
}

// NewIssuer returns an Issuer.
func NewIssuer(c IssuerConfig) *Issuer {
	if c.Lifetime == 0 {
		c.Lifetime = defaultKeyLifetime
	}
	if c.KeptBytes == 0 {
		c.KeptBytes = defaultKeptBytes
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = defaultMaxUsedKeys
	}
	i := &Issuer{config: c, secret: make([]byte, secretBytes), start: time.Now(), used: map[string]*usedKey{}}
	_, _ = rand.Read(i.secret)
	i.table.get = i.get
	i.table.put = i.put
	return i
}

// Issue returns a new key for one call of an organisation to a route.
func (i *Issuer) Issue(organisation, route string) string {
	k := IssuedKey{
		VM: i.config.VM, Incarnation: i.config.Incarnation,
		expires: i.elapsed() + int64(i.config.Lifetime/time.Second), nonce: rand.Text(),
	}
	k.mac = i.sign(&k, organisation, route)
	return strings.Join([]string{issuedPrefix, hex.EncodeToString([]byte(k.VM)), k.Incarnation, strconv.FormatInt(k.expires, 36), k.nonce, k.mac}, ".")
}

func (i *Issuer) elapsed() int64 {
	return int64(time.Since(i.start) / time.Second)
}

func (i *Issuer) sign(k *IssuedKey, organisation, route string) string {
	h := hmac.New(sha256.New, i.secret)
	text := strings.Join([]string{organisation, route, strconv.FormatInt(k.expires, 36), k.nonce}, "\x00")
	_, _ = h.Write([]byte(text))
	return base32.StdEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// Do runs the call of a key that this incarnation made, or returns the kept outcome if the key was used before.
func (i *Issuer) Do(ctx context.Context, c Call, send Send) (*Outcome, error) {
	k, ok := ParseKey(c.Key)
	if !ok || k.VM != i.config.VM || k.Incarnation != i.config.Incarnation {
		return nil, unknownOutcome("the VM that made the key is gone")
	}
	if !hmac.Equal([]byte(k.mac), []byte(i.sign(&k, c.Organisation, c.Route))) {
		return nil, foreignKey()
	}
	if i.elapsed() >= k.expires {
		return nil, unknownOutcome("the key has expired")
	}
	if !i.hasRoom(c.Key) {
		return nil, tooManyKeys()
	}
	e, first := i.table.begin(c.Key, c.Body)
	if e == nil {
		return nil, unknownOutcome("the key has expired")
	}
	if !first {
		return i.table.wait(ctx, e, c.Body)
	}
	outcome, err := send(detach(ctx))
	i.table.end(e, stateOf(err), withoutLargeBody(outcome, i.config.KeptBytes), err)
	return outcome, err
}

func foreignKey() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusBadRequest, Code: gladeapi.CodeBadRequest, Ran: gladeapi.NotRun,
		Message: "the key was not made for this organisation and route", Field: "Idempotency-Key",
	}
}

func tooManyKeys() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusServiceUnavailable, Code: gladeapi.CodeOverloaded, Ran: gladeapi.NotRun,
		Message: "too many keys are in use", RetryAfter: defaultRetryAfter,
	}
}

// hasRoom reports whether the key can be stored, and removes expired keys.
func (i *Issuer) hasRoom(key string) bool {
	i.table.mu.Lock()
	defer i.table.mu.Unlock()
	if time.Since(i.lastSweep) > sweepInterval {
		i.lastSweep = time.Now()
		now := i.elapsed()
		for name, u := range i.used {
			if now >= u.expires && u.ended() {
				delete(i.used, name)
			}
		}
	}
	return i.used[key] != nil || len(i.used) < i.config.MaxKeys
}

func (u *usedKey) ended() bool {
	select {
	case <-u.entry.done:
		return true
	default:
		return false
	}
}

func (i *Issuer) get(name string) (*entry, bool) {
	u, ok := i.used[name]
	if !ok {
		return nil, false
	}
	return u.entry, true
}

// put stores a key unless it has expired, because an expired key may have been used and removed.
func (i *Issuer) put(name string, e *entry) bool {
	k, _ := ParseKey(name)
	if i.elapsed() >= k.expires {
		return false
	}
	i.used[name] = &usedKey{entry: e, expires: k.expires}
	return true
}
