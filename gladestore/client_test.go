package gladestore_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

type fixture struct {
	*qt.C
	platform *gladestandin.Platform
	client   *gladestore.Client
	metrics  metrics.Registry
}

// run calls f in virtual time with a client of a simulated platform on an in-memory network.
func run(t *testing.T, f func(b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := &gladewire.Network{}
		b := &fixture{C: qt.New(t), platform: &gladestandin.Platform{}, metrics: metrics.NewRegistry()}
		l, err := network.Host("platform").Listen("tcp", "platform:80")
		b.Assert(err, qt.IsNil)
		s := &http.Server{Handler: b.platform}
		go func() { _ = s.Serve(l) }()
		client, closeClient := gladestore.New(gladestore.Config{
			Address: "http://platform:80", Dial: network.Host("vm").Dial, FailureDomain: "shubra", Metrics: b.metrics,
		})
		b.client = client
		defer synctest.Wait()
		defer func() { _ = s.Close() }()
		defer closeClient()
		f(b)
		time.Sleep(10 * time.Second) // lets delayed calls finish
	})
}

func (b *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("platform."+name, b.metrics).Count()
}

type nonced struct {
	Nonce string `json:"nonce"`
}

func value(nonce string) ([]byte, func([]byte) bool) {
	raw, _ := json.Marshal(nonced{Nonce: nonce})
	return raw, func(found []byte) bool {
		var n nonced
		return json.Unmarshal(found, &n) == nil && n.Nonce == nonce
	}
}

func TestCreateOnceRecoversLostResponses(t *testing.T) {
	for lost := range 3 {
		t.Run(strconv.Itoa(lost), func(t *testing.T) {
			run(t, func(b *fixture) {
				b.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: lost})
				ownValue, isOwn := value("a")
				o, err := b.client.CreateOnce(b.Context(), "claims", "x", ownValue, isOwn)
				b.Assert(err, qt.IsNil)
				b.Assert(o.Version, qt.Equals, int64(1))
				other, isOther := value("b")
				found, err := b.client.CreateOnce(b.Context(), "claims", "x", other, isOther)
				b.Assert(err, qt.ErrorIs, gladestore.ErrConflict)
				b.Assert(string(found.Value), qt.Equals, string(ownValue))
				b.Assert(b.counter("lostAnswers"), qt.Equals, int64(min(lost, 1)))
			})
		})
	}
}

func TestUpdateOnceRecoversLostResponse(t *testing.T) {
	run(t, func(b *fixture) {
		first, isFirst := value("a")
		o, err := b.client.CreateOnce(b.Context(), "leases", "x", first, isFirst)
		b.Assert(err, qt.IsNil)
		b.platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: 1})
		second, isSecond := value("b")
		updated, err := b.client.UpdateOnce(b.Context(), "leases", "x", second, o.Version, isSecond)
		b.Assert(err, qt.IsNil)
		b.Assert(updated.Version, qt.Equals, int64(2))
		_, err = b.client.UpdateOnce(b.Context(), "leases", "x", first, o.Version, isFirst)
		b.Assert(err, qt.ErrorIs, gladestore.ErrConflict)
	})
}

func TestCircuitBreakerLimitsCallsInOutage(t *testing.T) {
	run(t, func(b *fixture) {
		b.platform.SetFaults(gladestandin.PlatformFaults{Down: true})
		for range 100 {
			_, err := b.client.Get(b.Context(), "notes", "1")
			b.Assert(err, qt.ErrorIs, gladestore.ErrUnavailable)
		}
		b.Assert(b.counter("get") < 20, qt.IsTrue, qt.Commentf("%d calls", b.counter("get")))
		b.Assert(b.client.Available(), qt.IsFalse)
		b.platform.SetFaults(gladestandin.PlatformFaults{})
		time.Sleep(2 * time.Second)
		_, err := b.client.Get(b.Context(), "notes", "1")
		b.Assert(err, qt.ErrorIs, gladestore.ErrNotFound)
		b.Assert(b.client.Available(), qt.IsTrue)
	})
}

func TestPartitionedDomainAndSlowPlatform(t *testing.T) {
	run(t, func(b *fixture) {
		b.platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{"helwan"}, Delay: time.Second})
		_, err := b.client.Get(b.Context(), "notes", "1")
		b.Assert(err, qt.ErrorIs, gladestore.ErrNotFound)
		b.platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{"shubra"}})
		_, err = b.client.Get(b.Context(), "notes", "1")
		b.Assert(err, qt.ErrorIs, gladestore.ErrUnavailable)
		b.platform.SetFaults(gladestandin.PlatformFaults{Delay: 3 * time.Second})
		_, err = b.client.Create(b.Context(), "notes", "1", []byte(`{}`))
		b.Assert(err, qt.ErrorIs, gladestore.ErrUnavailable)
	})
}

func TestRateLimitsCountOpenWatches(t *testing.T) {
	run(t, func(b *fixture) {
		b.platform.SetLimits(gladestandin.PlatformLimits{Reads: 1, Writes: 2})
		for i, want := range []error{nil, nil, gladestore.ErrRateLimited} {
			_, err := b.client.Create(b.Context(), "notes", strconv.Itoa(i), []byte(`{}`))
			b.Assert(err, qt.ErrorIs, want)
		}
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		go func() {
			_ = b.client.Watch(ctx, "notes", 0, func(gladestore.Event) error { return nil })
		}()
		synctest.Wait()
		_, err := b.client.Get(b.Context(), "notes", "1")
		b.Assert(err, qt.ErrorIs, gladestore.ErrRateLimited)
	})
}

// follow records the names and errors that Follow delivers and checks that versions never decrease.
type follow struct {
	mu      sync.Mutex
	version int64
	seen    map[string]bool
	breaks  []error
}

func (b *fixture) follow(ctx context.Context) *follow {
	f := &follow{seen: map[string]bool{}}
	go b.client.Follow(ctx, gladestore.Follower{
		Kind: "notes",
		OnList: func(l gladestore.List) error {
			f.recordVersion(b, l.Version)
			for _, o := range l.Objects {
				f.recordName(o.Name)
			}
			return nil
		},
		OnEvent: func(e gladestore.Event) error {
			f.recordVersion(b, e.Version)
			f.recordName(e.Object.Name)
			return nil
		},
		OnError: func(err error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.breaks = append(f.breaks, err)
		},
	})
	return f
}

func (f *follow) recordVersion(b *fixture, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Check(version >= f.version, qt.IsTrue, qt.Commentf("version %d after %d", version, f.version))
	f.version = version
}

func (f *follow) recordName(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[name] = true
}

func (f *follow) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

func TestFollowSurvivesFaults(t *testing.T) {
	faults := map[string]func(*gladestandin.Platform){
		"none": func(*gladestandin.Platform) {},
		"cut":  func(p *gladestandin.Platform) { p.CutWatches() },
		"cut twice": func(p *gladestandin.Platform) {
			p.CutWatches()
			time.Sleep(60 * time.Millisecond)
			p.CutWatches()
		},
		"compacted": func(p *gladestandin.Platform) { p.Compact() },
		"skipped":   func(p *gladestandin.Platform) { p.SetFaults(gladestandin.PlatformFaults{SkipEvents: 2}) },
		"stale then cut": func(p *gladestandin.Platform) {
			p.SetFaults(gladestandin.PlatformFaults{StaleLists: true})
			time.AfterFunc(45*time.Millisecond, p.CutWatches)
		},
		"down":    func(p *gladestandin.Platform) { p.SetFaults(gladestandin.PlatformFaults{Down: true}) },
		"cut off": func(p *gladestandin.Platform) { p.SetFaults(gladestandin.PlatformFaults{CutOff: []string{"shubra"}}) },
		"slower than the timeout": func(p *gladestandin.Platform) {
			p.SetFaults(gladestandin.PlatformFaults{Delay: 5 * time.Second})
			p.CutWatches()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, func(b *fixture) {
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				f := b.follow(ctx)
				for i := range 30 {
					if i == 10 {
						fault(b.platform)
					}
					b.platform.Put("notes", strconv.Itoa(i), []byte(`{}`))
					time.Sleep(10 * time.Millisecond)
				}
				b.platform.SetFaults(gladestandin.PlatformFaults{})
				time.Sleep(10 * time.Second)
				b.Assert(f.count(), qt.Equals, 30)
			})
		})
	}
}

func TestFollowRelistsSilentWatch(t *testing.T) {
	run(t, func(b *fixture) {
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		f := b.follow(ctx)
		synctest.Wait()
		b.platform.SetFaults(gladestandin.PlatformFaults{SkipEvents: 1})
		b.platform.Put("notes", "1", []byte(`{}`))
		time.Sleep(70 * time.Second)
		b.Assert(f.count(), qt.Equals, 1)
	})
}
