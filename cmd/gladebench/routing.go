package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
)

const (
	routingPool    = "pool"
	routingDomains = 3
	promptBlocks   = 16
	// organisationBlocks is the number of leading blocks that all prompts of an organisation share.
	organisationBlocks = 2
	// cacheBlocks is the size of an engine's prefix cache.
	cacheBlocks     = 800
	prefillPerBlock = 10 * time.Millisecond
	decodeTime      = time.Second
	// decodePerStream is added to the prefill and to the decode time for each stream in the batch.
	decodePerStream = 30 * time.Millisecond
	// reportLag is the delay of load reports and the interval between them.
	reportLag   = time.Second
	routingSeed = 1
)

func routingCommand() *cli.Command {
	return &cli.Command{
		Name:  "routing",
		Usage: "compare routing policies by cached prompt blocks, time to first token and load balance",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "workers", Value: 36},
			&cli.IntFlag{Name: "vms", Value: 14},
			&cli.IntFlag{Name: "requests", Value: 20_000},
			&cli.FloatFlag{Name: "load", Usage: "mean number of streams per engine", Value: 6},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return inVirtualTime(func(context.Context) error {
				compareRouting(c)
				return nil
			})
		},
	}
}

// routingPolicy is one rule for the choice of an engine.
type routingPolicy struct {
	name string
	// random chooses an engine of the VM's failure domain without a routing table.
	random bool
	// leastLoaded chooses the least loaded engine instead of the less loaded of two random ones.
	leastLoaded bool
	// prefixBlocks passes the prompt's blocks to the table.
	prefixBlocks bool
	// loadReports sends the engines' load reports to the tables.
	loadReports bool
}

func compareRouting(c *cli.Command) {
	fmt.Printf("%d engines, %d VMs, %d requests, %g streams on an engine\n",
		c.Int("workers"), c.Int("vms"), c.Int("requests"), c.Float("load"))
	fmt.Println("policy                          cached  ttft p50  ttft p99  streams p99/mean")
	for _, p := range []routingPolicy{
		{name: "random", random: true},
		{name: "least in flight, own counts", leastLoaded: true},
		{name: "least loaded, with reports", leastLoaded: true, loadReports: true},
		{name: "two random, with reports", loadReports: true},
		{name: "prefix, bounded load", prefixBlocks: true, loadReports: true},
	} {
		newRoutingRun(c, p).run()
	}
}

// simulatedEngine has a bounded prefix cache and a token time that grows with its batch.
type simulatedEngine struct {
	backend gladeapi.BackendServer
	mu      sync.Mutex
	running int
	cache   *lru.Cache[uint64, struct{}]
}

// routingRun simulates one policy and collects its measurements.
type routingRun struct {
	policy   routingPolicy
	requests int
	rate     float64
	random   *rand.Rand
	engines  []*simulatedEngine
	byID     map[string]*simulatedEngine
	tables   []*gladeroute.Table

	mu                        sync.Mutex
	totalBlocks, cachedBlocks int
	firstToken                []time.Duration
	runningStreams            []int
}

func newRoutingRun(c *cli.Command, p routingPolicy) *routingRun {
	r := &routingRun{
		policy: p, requests: c.Int("requests"), random: rand.New(rand.NewPCG(routingSeed, 1)), byID: map[string]*simulatedEngine{},
	}
	list := make([]gladeapi.BackendServer, c.Int("workers"))
	for i := range list {
		list[i] = gladeapi.BackendServer{ID: fmt.Sprintf("e%03d", i), Pool: routingPool, FailureDomain: domainOf(i), Incarnation: "1"}
		cache, _ := lru.New[uint64, struct{}](cacheBlocks)
		e := &simulatedEngine{backend: list[i], cache: cache}
		r.engines = append(r.engines, e)
		r.byID[list[i].ID] = e
	}
	for i := range c.Int("vms") {
		t := &gladeroute.Table{FailureDomain: domainOf(i), LeastLoaded: p.leastLoaded}
		t.SetServers(list)
		r.tables = append(r.tables, t)
	}
	perStream := decodeTime + time.Duration(c.Float("load")*float64(decodePerStream)) + promptBlocks*prefillPerBlock/2
	r.rate = float64(len(list)) * c.Float("load") / perStream.Seconds()
	return r
}

func domainOf(i int) string {
	return fmt.Sprint("domain-", i%routingDomains)
}

func (r *routingRun) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	if r.policy.loadReports {
		tasks.Go(func() { r.report(ctx) })
	}
	var requests sync.WaitGroup
	for range r.requests {
		time.Sleep(time.Duration(r.random.ExpFloat64() / r.rate * float64(time.Second)))
		vm, blocks := r.random.IntN(len(r.tables)), r.prompt()
		requests.Go(func() { r.serve(vm, blocks) })
	}
	requests.Wait()
	cancel()
	tasks.Wait()
	r.print()
}

// prompt returns the block hashes of a random prompt. Prompts of one organisation share their first blocks, and prompts
// of one thread share all blocks. A few organisations send most prompts.
func (r *routingRun) prompt() []uint64 {
	organisation := uint64(min(r.random.IntN(10), r.random.IntN(10), r.random.IntN(10)))
	thread := uint64(r.random.IntN(60 * len(r.engines) / 10))
	blocks := make([]uint64, promptBlocks)
	for i := range blocks {
		blocks[i] = organisation<<48 | uint64(i)
		if i >= organisationBlocks {
			blocks[i] |= thread<<16 | 1<<40
		}
	}
	return blocks
}

// report sends the load of all engines to all tables, delayed by reportLag, at intervals of reportLag.
func (r *routingRun) report(ctx context.Context) {
	for {
		reports := make([]gladeapi.LoadReport, len(r.engines))
		for i, e := range r.engines {
			e.mu.Lock()
			reports[i] = gladeapi.LoadReport{Backend: e.backend.ID, Running: e.running}
			e.mu.Unlock()
		}
		select {
		case <-time.After(reportLag):
		case <-ctx.Done():
			return
		}
		for _, t := range r.tables {
			for _, x := range reports {
				t.UpdateLoad(x, reportLag)
			}
		}
	}
}

func (r *routingRun) choose(vm int, blocks []uint64) (*simulatedEngine, func(gladeapi.Outcome)) {
	if r.policy.random {
		r.mu.Lock()
		defer r.mu.Unlock()
		local := r.random.IntN(len(r.engines)/routingDomains)*routingDomains + vm%routingDomains
		return r.engines[local], func(gladeapi.Outcome) {}
	}
	need := gladeapi.Requirements{}
	if r.policy.prefixBlocks {
		need.Blocks = blocks
	}
	choice, err := r.tables[vm].Choose(routingPool, need)
	if err != nil {
		panic(err)
	}
	return r.byID[choice.Backend.ID], choice.Release
}

func (r *routingRun) serve(vm int, blocks []uint64) {
	e, release := r.choose(vm, blocks)
	missing, running := e.begin(blocks)
	prefill := time.Duration(missing)*prefillPerBlock + time.Duration(running)*decodePerStream
	time.Sleep(prefill)
	r.mu.Lock()
	r.totalBlocks += len(blocks)
	r.cachedBlocks += len(blocks) - missing
	r.firstToken = append(r.firstToken, prefill)
	r.runningStreams = append(r.runningStreams, running)
	r.mu.Unlock()
	time.Sleep(decodeTime + time.Duration(running)*decodePerStream)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	release(gladeapi.OutcomeDone)
}

// begin adds a prompt to the cache and starts its stream. It returns the number of blocks that were not
// cached and the number of running streams, this one included.
func (e *simulatedEngine) begin(blocks []uint64) (missing, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hit := true
	for _, b := range blocks {
		if _, ok := e.cache.Get(b); !ok || !hit {
			hit = false
			missing++
		}
		e.cache.Add(b, struct{}{})
	}
	e.running++
	return missing, e.running
}

func (r *routingRun) print() {
	slices.Sort(r.firstToken)
	slices.Sort(r.runningStreams)
	var sum int
	for _, n := range r.runningStreams {
		sum += n
	}
	n := len(r.firstToken)
	mean := float64(sum) / float64(n)
	fmt.Printf("%-30s %6.1f%%  %8s  %8s  %5.2f\n", r.policy.name, 100*float64(r.cachedBlocks)/float64(r.totalBlocks),
		r.firstToken[n/2].Round(time.Millisecond), r.firstToken[n*99/100].Round(time.Millisecond), float64(r.runningStreams[n*99/100])/mean)
}
