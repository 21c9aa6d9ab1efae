package gladesoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reads reports whether a VM reads the store for its failure domain.
func (s *soak) reads(v *vm) bool {
	r, err := http.Get("http://" + s.address(v.host, 9464) + "/dump")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	var dump struct {
		Reading bool `json:"reading"`
	}
	return json.NewDecoder(r.Body).Decode(&dump) == nil && dump.Reading
}

// readers returns the VMs that read the store, once there is one in each failure domain, and the others.
func (s *soak) readers() (readers, others []*vm) {
	for range 500 {
		readers, others = nil, nil
		for _, v := range s.vms {
			if s.reads(v) {
				readers = append(readers, v)
			} else {
				others = append(others, v)
			}
		}
		if len(readers) == 2 {
			return readers, others
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatal("there is not one reader in each failure domain")
	return nil, nil
}

// callOnce sends a request of a kind to a VM and returns the status of its answer, zero for none.
func (s *soak) callOnce(v *vm, kind string) int {
	id := fmt.Sprintf("%s-%d", kind, s.attempt.Add(1))
	s.recorder.recordVM(id, v)
	r, err := http.NewRequest(http.MethodPost, "http://"+s.address(v.host, 8740)+"/"+kind+"/x", io.NopCloser(strings.NewReader("body")))
	s.Check(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "1000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// callUntil sends requests of a kind to each of some VMs until the context ends.
func (s *soak) callUntil(ctx context.Context, tasks *sync.WaitGroup, vms []*vm, kind string) {
	for _, v := range vms {
		tasks.Go(func() {
			for ctx.Err() == nil {
				s.callOnce(v, kind)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// Guards against requests to a leaving server from VMs that only the reader of their failure domain could tell: the reader has heard of
// the leaving from the server itself, and then lists the servers because the store has lost its history.
func TestLeavingInLostHistoryReachesAllVMs(t *testing.T) {
	s := newSoak(t, buildProgram(t), 1)
	for _, v := range s.vms {
		s.Assert(s.waitReady(v), qt.IsTrue)
	}
	readers, others := s.readers()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	s.callUntil(ctx, &tasks, readers, "unsafe")
	time.Sleep(300 * time.Millisecond)
	s.store.deafen()
	leaver, left := s.servers[4], time.Now()
	tasks.Go(func() { leaver.leaveAfter(3 * drainBound) })
	time.Sleep(700 * time.Millisecond)
	s.store.forget()
	time.Sleep(time.Until(left.Add(drainBound + 300*time.Millisecond)))
	for range 20 {
		for _, v := range others {
			s.Check(s.callOnce(v, "unsafe"), qt.Equals, http.StatusOK)
		}
	}
	cancel()
	tasks.Wait()
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	for _, id := range s.recorder.lateRequests {
		s.Errorf("%s reached the leaving server through VM %d", id, s.recorder.vms[id].host)
	}
	if s.Failed() {
		s.saveLogs()
	}
}
