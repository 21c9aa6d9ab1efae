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

// inForceTarget is the time in which an accepted note must be in force everywhere.
const inForceTarget = 4 * time.Second

type notesBench struct {
	*qt.C
	*Cluster
	network *gladewire.Network
}

func withNotes(t *testing.T, f func(b *notesBench)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		check := &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		network := &gladewire.Network{}
		k, closeCluster, err := New(Config{
			Network: network, Check: check, FailureDomains: []string{"shubra", "helwan", "giza"}, VMs: 3,
		})
		c.Assert(err, qt.IsNil)
		defer closeCluster()
		b := &notesBench{C: c, Cluster: k, network: network}
		c.Assert(b.wait(b.VMs[0], 1, 30*time.Second).InForce, qt.IsTrue)
		f(b)
	})
}

func (b *notesBench) operate(v *VM, method, path string, body, answer any) int {
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

func (b *notesBench) submit(v *VM, n gladenote.Note) (int, gladedaemon.NoteAnswer) {
	var a gladedaemon.NoteAnswer
	n.Author, n.Title = "amira", "test"
	status := b.operate(v, http.MethodPost, "/notes", n, &a)
	return status, a
}

func (b *notesBench) status(v *VM, number int64) gladenote.Status {
	var s gladenote.Status
	b.operate(v, http.MethodGet, "/notes/status?number="+strconv.FormatInt(number, 10), nil, &s)
	return s
}

func (b *notesBench) wait(v *VM, number int64, d time.Duration) gladenote.Status {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		if s := b.status(v, number); s.InForce || time.Now().After(end) {
			return s
		}
	}
}

// nextVersion replaces the default note's version by another.
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

func (b *notesBench) domain(s gladenote.Status, name string) gladenote.DomainStatus {
	i := slices.IndexFunc(s.Domains, func(d gladenote.DomainStatus) bool { return d.FailureDomain == name })
	b.Assert(i >= 0, qt.IsTrue)
	return s.Domains[i]
}

func TestNoteInForceMeansEnginesHoldIt(t *testing.T) {
	withNotes(t, func(b *notesBench) {
		status, answer := b.submit(b.VMs[4], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%v", answer))
		s := b.wait(b.VMs[0], 2, inForceTarget)
		b.Assert(s.InForce, qt.IsTrue, qt.Commentf("%+v", s))
		for _, e := range b.Engines {
			b.Assert(slices.Contains(e.Engine.Targets(), ModelName+"@2"), qt.IsTrue)
		}
		status, answer = b.submit(b.VMs[8], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK) // the same note again
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

func TestStatusOfCutOffFailureDomain(t *testing.T) {
	withNotes(t, func(b *notesBench) {
		b.cut("giza", b.network.Cut)
		time.Sleep(10 * time.Second)
		status, _ := b.submit(b.VMs[0], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK)
		s := b.wait(b.VMs[0], 2, inForceTarget)
		b.Assert(s.InForce, qt.IsFalse)
		b.Assert(b.domain(s, "shubra").InForce, qt.IsTrue, qt.Commentf("%+v", s))
		b.Assert(b.domain(s, "helwan").InForce, qt.IsTrue, qt.Commentf("%+v", s))
		giza := b.domain(s, "giza")
		b.Assert(giza.InForce, qt.IsFalse)
		b.Assert(giza.Reasons, qt.Not(qt.HasLen), 0)
		b.Assert(giza.AgeMillis >= 10_000, qt.IsTrue, qt.Commentf("%+v", giza))
		b.cut("giza", b.network.Heal)
		b.Assert(b.wait(b.VMs[0], 2, time.Minute).InForce, qt.IsTrue)
	})
}

func TestNoteReachesFailureDomainOffThePlatform(t *testing.T) {
	withNotes(t, func(b *notesBench) {
		b.Platform.SetFaults(gladestandin.PlatformFaults{CutOff: []string{"giza"}})
		status, _ := b.submit(b.VMs[0], nextVersion(1))
		b.Assert(status, qt.Equals, http.StatusOK)
		deadline := time.Now().Add(inForceTarget)
		for _, v := range b.VMs {
			for number(b, v) < 2 {
				b.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf(v.Name))
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// TestOrderGiverDies kills the VMs that give orders, alone and during an outage, and expects the next note in force.
func TestOrderGiverDies(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(strconv.FormatBool(down), func(t *testing.T) {
			withNotes(t, func(b *notesBench) {
				givers := 0
				for _, v := range slices.Clone(b.VMs) {
					if orders(b, v) != nil {
						givers++
						v.Kill()
					}
				}
				b.Assert(givers, qt.Equals, 3)
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
				s := b.wait(v, 2, time.Minute)
				b.Assert(s.InForce, qt.IsTrue, qt.Commentf("%+v", s))
				for _, d := range s.Domains {
					b.Assert(d.Engines.FencingNumber > 1, qt.IsTrue)
				}
			})
		})
	}
}

// orders returns a VM's report as order-giver from its state dump, or nil.
func orders(b *notesBench, v *VM) *gladenote.EngineReport {
	var dump struct {
		Orders *gladenote.EngineReport `json:"orders"`
	}
	b.operate(v, http.MethodGet, "/dump", nil, &dump)
	return dump.Orders
}

func number(b *notesBench, v *VM) int64 {
	var recent []gladenote.Summary
	b.operate(v, http.MethodGet, "/notes", nil, &recent)
	return recent[len(recent)-1].Number
}

// TestWithdrawnVersionServesItsGeneration withdraws a version while a generation runs on it.
func TestWithdrawnVersionServesItsGeneration(t *testing.T) {
	withNotes(t, func(b *notesBench) {
		time.AfterFunc(200*time.Millisecond, func() {
			status, _ := b.submit(b.VMs[0], nextVersion(1))
			b.Check(status, qt.Equals, http.StatusOK)
		})
		const tokens = 6000 // a minute
		b.Assert(complete(b.C, b.VMs[0], tokens), qt.Equals, want(tokens, 1))
		time.Sleep(time.Minute)
		for _, e := range b.Engines {
			b.Check(e.Engine.Targets(), qt.DeepEquals, []string{ModelName + "@2"})
		}
	})
}

// cut separates all hosts of a failure domain from the others and the platform, or heals that.
func (b *notesBench) cut(domain string, act func(a, c string)) {
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
