package gladeload

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	sampleInterval = 200 * time.Millisecond
	// ticksPerSecond is the unit of processor time in /proc, USER_HZ.
	ticksPerSecond = 100
	microseconds   = 1e6
)

// ProcessCost is the processor time and memory that a process used during the load.
type ProcessCost struct {
	PID int `json:"pid"`
	// Cores is the processor time divided by the elapsed time.
	Cores float64 `json:"cores"`
	// MicrosRequest is the processor time per request, in microseconds.
	MicrosRequest float64 `json:"microsPerRequest"`
	// MicrosToken is the processor time per token, in microseconds.
	MicrosToken float64 `json:"microsPerToken"`
	// StartMiB is the resident memory at the start, in MiB.
	StartMiB float64 `json:"startMiB"`
	// PeakMiB is the largest sampled resident memory, in MiB.
	PeakMiB float64 `json:"peakMiB"`
}

type processSampler struct {
	cost       ProcessCost
	start      time.Time
	startTicks int64
	done       chan struct{}
	tasks      sync.WaitGroup
}

func startSampling(pid int) *processSampler {
	if pid == 0 {
		return nil
	}
	w := &processSampler{start: time.Now(), startTicks: processTicks(pid), done: make(chan struct{})}
	w.cost = ProcessCost{PID: pid, StartMiB: residentMiB(pid)}
	w.cost.PeakMiB = w.cost.StartMiB
	w.tasks.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.cost.PeakMiB = max(w.cost.PeakMiB, residentMiB(pid))
			case <-w.done:
				return
			}
		}
	})
	return w
}

func (w *processSampler) stop(requests, tokens int) *ProcessCost {
	if w == nil {
		return nil
	}
	close(w.done)
	w.tasks.Wait()
	spent := float64(processTicks(w.cost.PID)-w.startTicks) / ticksPerSecond
	w.cost.Cores = spent / time.Since(w.start).Seconds()
	w.cost.MicrosRequest = spent * microseconds / float64(max(requests, 1))
	w.cost.MicrosToken = spent * microseconds / float64(max(tokens, 1))
	return &w.cost
}

// processTicks returns the user and system time of a process in clock ticks, or 0 if it can't be read.
func processTicks(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return user + system
}

// residentMiB returns the resident memory of a process in MiB, or 0 if it can't be read.
func residentMiB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kib / 1024
		}
	}
	return 0
}
