package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladelimit"
)

const (
	stormServers     = 36
	stormLostServers = 12
	stormServiceTime = 100 * time.Millisecond
	stormTimeout     = time.Second
	stormAttempts    = 4
	// stormLoad is the load as a share of the capacity of all servers.
	stormLoad      = 0.85
	stormPhaseTime = 30 * time.Second
	stormPhases    = 5
	stormSeed      = 1
)

func stormCommand() *cli.Command {
	return &cli.Command{
		Name:  "storm",
		Usage: "simulate the temporary loss of a failure domain's servers, with and without retry budget and admission",
		Action: func(context.Context, *cli.Command) error {
			return inVirtualTime(func(context.Context) error {
				fmt.Printf("%d servers, %s per call, %d lost in the second %s, load %g of capacity; answers in time per second\n",
					stormServers, stormServiceTime, stormLostServers, stormPhaseTime, stormLoad)
				fmt.Println("policy                      before    lost   +30 s   +60 s   +90 s  sends per call")
				(&storm{name: "retries without bound"}).run()
				(&storm{name: "retry budget", withBudget: true}).run()
				(&storm{name: "admission", withAdmission: true}).run()
				(&storm{name: "retry budget and admission", withBudget: true, withAdmission: true}).run()
				return nil
			})
		},
	}
}

// storm simulates calls to servers that also finish calls whose callers have timed out.
type storm struct {
	name          string
	withBudget    bool
	withAdmission bool

	servers     chan struct{}
	retryBudget *gladelimit.Budget
	limiter     *gladelimit.Limiter
	goodput     [stormPhases]atomic.Int64
	calls       atomic.Int64
	sends       atomic.Int64
}

func (s *storm) run() {
	s.servers = make(chan struct{}, stormServers)
	s.retryBudget = gladelimit.NewBudget(gladelimit.BudgetConfig{})
	s.limiter = gladelimit.NewLimiter(gladelimit.Config{MaxRunning: stormServers, QueueShare: 1})
	random := rand.New(rand.NewPCG(stormSeed, 1))
	rate := stormLoad * stormServers / stormServiceTime.Seconds()
	start := time.Now()
	var tasks sync.WaitGroup
	tasks.Go(s.loseServers)
	for time.Since(start) < stormPhases*stormPhaseTime {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		phase := min(stormPhases-1, int(time.Since(start)/stormPhaseTime))
		tasks.Go(func() { s.call(phase) })
	}
	tasks.Wait()
	per := func(phase int) float64 { return float64(s.goodput[phase].Load()) / stormPhaseTime.Seconds() }
	fmt.Printf("%-26s  %6.0f  %6.0f  %6.0f  %6.0f  %6.0f  %.2f\n", s.name, per(0), per(1), per(2), per(3), per(4),
		float64(s.sends.Load())/float64(s.calls.Load()))
}

func (s *storm) loseServers() {
	time.Sleep(stormPhaseTime)
	for range stormLostServers {
		s.servers <- struct{}{}
	}
	time.Sleep(stormPhaseTime)
	for range stormLostServers {
		<-s.servers
	}
}

func (s *storm) call(phase int) {
	s.calls.Add(1)
	s.retryBudget.CountRequest()
	for attempt := range stormAttempts {
		if attempt > 0 && s.withBudget && !s.retryBudget.TryRetry() {
			return
		}
		if s.send() {
			s.goodput[phase].Add(1)
			return
		}
	}
}

// send reports whether the answer arrives before the timeout. A server finishes every call that it receives.
func (s *storm) send() bool {
	ctx, cancel := context.WithTimeout(context.Background(), stormTimeout)
	defer cancel()
	release := func(int) {}
	if s.withAdmission {
		var err error
		if release, err = s.limiter.Admit(ctx, "all", gladelimit.Limits{}); err != nil {
			return false
		}
	}
	s.sends.Add(1)
	done := make(chan struct{})
	go func() {
		s.servers <- struct{}{}
		time.Sleep(stormServiceTime)
		<-s.servers
		release(0)
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
