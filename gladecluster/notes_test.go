package gladecluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

// maxInForceDelay is the time within which an accepted note must be in force in every failure domain.
const maxInForceDelay = 4 * time.Second

type notesFixture struct {
	*qt.C
	*Cluster
	network *gladewire.Network
}

func runNotesTest(t *testing.T, f func(b *notesFixture)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		check := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		network := &gladewire.Network{}
		k, closeCluster, err := New(Config{
			Network: network, Check: check, FailureDomains: []string{"shubra", "helwan", "giza"}, VMs: 3,
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		b := &notesFixture{C: c, Cluster: k, network: network}
		c.Assert(b.waitInForce(b.VMs[0], 1, 30*time.Second).InForce, qt.IsTrue)
		f(b)
	})
}

func (b *notesFixture) callOperators(v *VM, method, path string, body, answer any) int {
	raw, err := json.Marshal(body)
	b.Assert(err, qt.IsNil)
	client := v.Client()
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+v.Daemon.OperatorsAddress()+path, bytes.NewReader(raw))
	b.Assert(err, qt.IsNil)
	response, err := client.Do(r)
	b.Assert(err, qt.IsNil)
	defer response.Body.Close()
	b.Assert(json.NewDecoder(response.Body).Decode(answer), qt.IsNil)
	return response.StatusCode
}

func (b *notesFixture) submit(v *VM, n gladenote.Note) (int, gladedaemon.NoteAnswer) {
	var a gladedaemon.NoteAnswer
	n.Author, n.Title = "amira", "test"
	status := b.callOperators(v, http.MethodPost, "/notes", n, &a)
	return status, a
}

func (b *notesFixture) status(v *VM, number int64) gladenote.Status {
	var s gladenote.Status
	b.callOperators(v, http.MethodGet, "/notes/status?number="+strconv.FormatInt(number, 10), nil, &s)
	return s
}

func (b *notesFixture) waitInForce(v *VM, number int64, d time.Duration) gladenote.Status {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		if s := b.status(v, number); s.InForce || time.Now().After(end) {
			return s
		}
	}
}

// nextVersion returns a note that replaces version 1 of the default note's model with version 2.
func nextVersion(base int64) gladenote.Note {
	m := DefaultNote().Added.Models[0]
	m.DefaultVersion = "2"
	return gladenote.Note{
		Base:      base,
		Added:     gladenote.Content{Versions: []gladenote.Version{{Model: ModelName, Name: "2", Weights: "w2"}}},
		Changed:   gladenote.Content{Models: []gladenote.Model{m}},
		Withdrawn: gladenote.Withdrawn{Versions: []gladenote.VersionRef{{Model: ModelName, Name: "1"}}},
	}
}

func (b *notesFixture) domain(s gladenote.Status, name string) gladenote.DomainStatus {
	i := slices.IndexFunc(s.Domains, func(d gladenote.DomainStatus) bool { return d.FailureDomain == name })
	b.Assert(i >= 0, qt.IsTrue)
	return s.Domains[i]
}

func TestNoteInForceRequiresLoadedEngines(t *testing.T) {
	runNotesTest(t, func(b *notesFixture) {
		status, answer := b.submit(b.VMs[4], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%v", answer))
		s := b.waitInForce(b.VMs[0], 2, maxInForceDelay)
		b.Assert(s.InForce, qt.IsTrue, qt.Commentf("%+v", s))
		for _, e := range b.Engines {
			b.Assert(slices.Contains(e.Engine.Targets(), ModelName+"@2"), qt.IsTrue)
		}
		status, answer = b.submit(b.VMs[8], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK) // a repeat of the accepted note is accepted
		b.Assert(answer.Accepted.Number, qt.Equals, int64(2))
		other := nextVersion(1)
		other.Added.Versions[0].Weights = "other"
		status, answer = b.submit(b.VMs[8], other)
		b.Assert(status, qt.Equals, http.StatusConflict)
		b.Assert(strings.Contains(answer.Errors[0], `note 2 "test" by amira`), qt.IsTrue, qt.Commentf("%v", answer.Errors))
		status, answer = b.submit(b.VMs[8], gladenote.Note{Base: 2, Added: nextVersion(2).Added, Changed: gladenote.Content{Routes: []gladenote.Route{{}}}})
		b.Assert(status, qt.Equals, http.StatusUnprocessableEntity)
		b.Assert(len(answer.Errors) >= 4, qt.IsTrue, qt.Commentf("%v", answer.Errors))
	})
}

func TestStatusOfIsolatedFailureDomain(t *testing.T) {
	runNotesTest(t, func(b *notesFixture) {
		b.setIsolated("giza", b.network.Cut)
		time.Sleep(10 * time.Second)
		status, _ := b.submit(b.VMs[0], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK)
		s := b.waitInForce(b.VMs[0], 2, maxInForceDelay)
		b.Assert(s.InForce, qt.IsFalse)
		b.Assert(b.domain(s, "shubra").InForce, qt.IsTrue, qt.Commentf("%+v", s))
		b.Assert(b.domain(s, "helwan").InForce, qt.IsTrue, qt.Commentf("%+v", s))
		giza := b.domain(s, "giza")
		b.Assert(giza.InForce, qt.IsFalse)
		b.Assert(giza.Reasons, qt.Not(qt.HasLen), 0)
		b.Assert(giza.AgeMillis >= 10_000, qt.IsTrue, qt.Commentf("%+v", giza))
		b.setIsolated("giza", b.network.Heal)
		b.Assert(b.waitInForce(b.VMs[0], 2, time.Minute).InForce, qt.IsTrue)
	})
}

func TestNoteReachesFailureDomainWithoutPlatform(t *testing.T) {
	runNotesTest(t, func(b *notesFixture) {
		b.Platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{"giza"}})
		status, _ := b.submit(b.VMs[0], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK)
		deadline := time.Now().Add(maxInForceDelay)
		for _, v := range b.VMs {
			for newestNote(b, v) < 2 {
				b.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf(v.Name))
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// TestVMSendingOrdersDies kills the VMs that send orders, with and without an outage of the platform, and expects
// the next note to come into force.
func TestVMSendingOrdersDies(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run("platform down "+strconv.FormatBool(down), func(t *testing.T) {
			runNotesTest(t, func(b *notesFixture) {
				killed := 0
				for _, v := range slices.Clone(b.VMs) {
					if engineReport(b, v) != nil {
						killed++
						v.Kill()
					}
				}
				b.Assert(killed, qt.Equals, 3)
				if down {
					b.Platform.SetFaults(gladestandin.PlatformFaults{Down: true})
					time.Sleep(20 * time.Second)
					b.Platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: 3})
				}
				time.Sleep(5 * time.Second)
				b.Publish()
				v := b.LiveVMs()[0]
				status, answer := b.submit(v, nextVersion(1))
				b.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%v", answer))
				s := b.waitInForce(v, 2, time.Minute)
				b.Assert(s.InForce, qt.IsTrue, qt.Commentf("%+v", s))
				for _, d := range s.Domains {
					b.Assert(d.Engines.FencingNumber > 1, qt.IsTrue)
				}
			})
		})
	}
}

// engineReport returns the engine report from the state dump of a VM that sends orders, otherwise nil.
func engineReport(b *notesFixture, v *VM) *gladenote.EngineReport {
	var dump struct {
		Orders *gladenote.EngineReport `json:"orders"`
	}
	b.callOperators(v, http.MethodGet, "/dump", nil, &dump)
	return dump.Orders
}

func newestNote(b *notesFixture, v *VM) int64 {
	var recent []gladenote.Summary
	b.callOperators(v, http.MethodGet, "/notes", nil, &recent)
	return recent[len(recent)-1].Number
}

// TestWithdrawnVersionFinishesGeneration withdraws a version while a generation runs on it.
func TestWithdrawnVersionFinishesGeneration(t *testing.T) {
	runNotesTest(t, func(b *notesFixture) {
		time.AfterFunc(200*time.Millisecond, func() {
			status, _ := b.submit(b.VMs[0], nextVersion(1))
			b.Check(status, qt.Equals, http.StatusOK)
		})
		const tokens = 6000 // one minute at 10 ms per token
		b.Assert(complete(b.C, b.VMs[0], tokens), qt.Equals, expectedText(tokens, 1))
		time.Sleep(time.Minute)
		for _, e := range b.Engines {
			b.Check(e.Engine.Targets(), qt.DeepEquals, []string{ModelName + "@2"})
		}
	})
}

// setIsolated calls act, which cuts or heals one link, for each link between a host of a failure domain and a host
// outside it, the platform included.
func (b *notesFixture) setIsolated(domain string, act func(a, c string)) {
	var inside, outside []string
	outside = append(outside, PlatformHost)
	add := func(name, d string) {
		if d == domain {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, v := range b.VMs {
		add(v.Name, v.FailureDomain)
	}
	for _, e := range b.Engines {
		add(e.Backend.ID, e.Backend.FailureDomain)
	}
	for _, i := range inside {
		for _, o := range outside {
			act(i, o)
		}
	}
}
