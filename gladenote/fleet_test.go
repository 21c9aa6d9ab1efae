package gladenote_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

var errUnreachable = eris.New("VM unreachable")

// fleet connects the replicas of several VMs with one simulated platform. The VMs call each other directly.
type fleet struct {
	*qt.C
	platform      *gladestandin.Platform
	network       *gladewire.Network
	check         *gladecheck.Checker
	config        gladenote.ReplicaConfig
	snapshotEvery int64

	mu       sync.Mutex
	vms      map[string]*vm
	isolated map[string]bool // failure domains that can't reach other ones
	// frozen, if set, holds the note number that membership reports for each VM, whatever the VM holds.
	frozen     map[string]int64
	fetchDelay time.Duration
	noPushes   bool
}

type vm struct {
	name, domain string
	replica      *gladenote.Replica
	store        *gladestore.Client
	stop         func()
}

func runFleet(t *testing.T, f func(l *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &fleet{C: c, platform: &gladestandin.Platform{}, network: &gladewire.Network{}, vms: map[string]*vm{}, isolated: map[string]bool{}}
		l.check = &gladecheck.Checker{OnBroken: func(i gladecheck.Invariant, m string) { t.Errorf("%s: %s", i, m) }}
		listener, err := l.network.Host("platform").Listen("tcp", "platform:80")
		c.Assert(err, qt.IsNil)
		s := &http.Server{Handler: l.platform}
		go func() { _ = s.Serve(listener) }()
		defer synctest.Wait()
		defer func() { _ = s.Close() }()
		defer l.stopAll()
		f(l)
		time.Sleep(10 * time.Second) // lets delayed calls finish
	})
}

func (l *fleet) stopAll() {
	for _, v := range l.all() {
		l.stop(v.name)
	}
}

func (l *fleet) all() []*vm {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*vm
	for _, v := range l.vms {
		all = append(all, v)
	}
	return all
}

// start adds the VMs DOMAIN-from to DOMAIN-to to a failure domain.
func (l *fleet) start(domain string, from, to int) {
	for i := from; i <= to; i++ {
		v := &vm{name: fmt.Sprintf("%s-%d", domain, i), domain: domain}
		store, closeStore := gladestore.New(gladestore.Config{
			Address: "http://platform:80", Dial: l.network.Host(v.name).Dial, FailureDomain: domain,
		})
		c := l.config
		c.Name, c.FailureDomain, c.Check = v.name, domain, l.check
		c.Log = &gladenote.Log{Store: store, SnapshotEvery: l.snapshotEvery, KeepNotes: l.snapshotEvery}
		c.Members = func() []gladenote.Member { return l.members(v) }
		c.Push = func(ctx context.Context, to string, p gladenote.Push) (int64, error) {
			w, err := l.reach(v, to)
			if _, off := l.transferLimits(); off {
				err = errUnreachable
			}
			if err != nil {
				return 0, err
			}
			return w.replica.HandlePush(ctx, v.name, p)
		}
		c.Fetch = func(ctx context.Context, from string, q gladenote.FetchRequest) (gladenote.FetchAnswer, error) {
			delay, _ := l.transferLimits()
			time.Sleep(delay)
			w, err := l.reach(v, from)
			if err != nil {
				return gladenote.FetchAnswer{}, err
			}
			return w.replica.HandleFetch(ctx, v.name, q)
		}
		l.mu.Lock()
		var closeReplica func()
		v.store = store
		v.replica, closeReplica = gladenote.NewReplica(c)
		v.stop = func() { closeReplica(); closeStore() }
		l.vms[v.name] = v
		l.mu.Unlock()
	}
}

func (l *fleet) stop(name string) {
	l.mu.Lock()
	v := l.vms[name]
	delete(l.vms, name)
	l.mu.Unlock()
	v.stop()
}

func (l *fleet) connected(a, b *vm) bool {
	return a.domain == b.domain || !l.isolated[a.domain] && !l.isolated[b.domain]
}

func (l *fleet) reach(from *vm, to string) (*vm, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.vms[to]
	if w == nil || !l.connected(from, w) {
		return nil, errUnreachable
	}
	return w, nil
}

func (l *fleet) members(v *vm) []gladenote.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var holders []gladenote.Member
	for _, w := range l.vms {
		if w == v || !l.connected(v, w) {
			continue
		}
		number := w.replica.State().Number
		if l.frozen != nil {
			number = l.frozen[w.name]
		}
		holders = append(holders, gladenote.Member{Name: w.name, FailureDomain: w.domain, Number: number})
	}
	return holders
}

// slowFetchesAndDropPushes delays each fetch and makes each push fail.
func (l *fleet) slowFetchesAndDropPushes(fetchDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetchDelay, l.noPushes = fetchDelay, true
}

func (l *fleet) transferLimits() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fetchDelay, l.noPushes
}

// freezeMembership makes membership report the current note numbers from now on.
func (l *fleet) freezeMembership() {
	frozen := map[string]int64{}
	for _, v := range l.all() {
		frozen[v.name] = v.replica.State().Number
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = frozen
}

func (l *fleet) vm(name string) *vm {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms[name]
}

// waitForNote waits in virtual time until all VMs hold a note. It returns the names of the VMs that do not after d.
func (l *fleet) waitForNote(d time.Duration, number int64) []string {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		var behind []string
		for _, v := range l.all() {
			if v.replica.State().Number < number {
				behind = append(behind, v.name)
			}
		}
		if len(behind) == 0 || time.Now().After(end) {
			return behind
		}
	}
}

func note(base int64, title string) gladenote.Note {
	return gladenote.Note{Base: base, Author: "amira", Title: title, Added: gladenote.Content{
		Organisations: []gladenote.Organisation{{Name: "org-" + title, KeyHashes: []string{gladenote.HashKey(title)}}},
	}}
}

// submit submits the next n notes through one VM.
func (l *fleet) submit(through string, n int) {
	for range n {
		v := l.vm(through)
		base := v.replica.State().Number
		_, err := v.replica.Submit(context.Background(), note(base, fmt.Sprint("t", base+1)))
		l.Assert(err, qt.IsNil)
	}
}
