package gladerollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const tick = 20 * time.Millisecond

// scenario is one order in a model of VMs, servers, reports and deciders.
type scenario struct {
	Seed                uint64
	Limit               time.Duration
	VMs, Old, Target    int
	Rates               []float64 // requests per second of each route
	First, Whole        time.Duration
	Prefill, Decode     time.Duration // of one request alone on a server, on which others wait and slow it; 0 for First and Whole
	Fails               float64       // part of the bad version's answers that fail
	Slow                float64       // factor by which the bad version is slower, 0 for not
	BadFrom             time.Duration // since the order
	BadRoute            int           // -1 for all
	UnderLoad           bool          // bad only on servers with at least an old server's mean number of runs
	Flaky               bool          // 14% of all servers fail 45% of their requests
	Crash, Burst        time.Duration // when a third of the old servers crash, and 2.5 times the traffic slows all; 0 for never
	Loss                float64       // part of the reports and notices lost
	ReportDelay         time.Duration
	Deaths              []time.Duration // when the decider dies
	StoreFrom, StoreFor time.Duration   // a pause of the store
}

func (s scenario) bad() bool { return s.Fails > 0 || s.Slow > 0 }

// result is what came of an order.
type result struct {
	state       State
	ended       time.Duration
	target, all int // requests between the order and its time limit
	log         []string
}

type modelServer struct {
	name           string
	running        int
	flaky, crashed bool
	prefilledAt    time.Time // when the prompts that wait will have been read
	prefilling     float64   // part of the time with prefill, as an average over prefillWindow
	averagedAt     time.Time
}

const (
	prefillWindow = 5 * time.Second
	// prefillSlowdown is the increase of a decoding step of 3.7 ms by a chunk of 125 prompt tokens at 5 tokens per ms.
	prefillSlowdown = 25 / 3.7
)

// times adds a prompt to those that wait and returns the times to the first event and to the end of its run.
func (k *modelServer) times(now time.Time, prefill, decode time.Duration) (first, whole time.Duration) {
	if k.prefilledAt.Before(now) {
		k.prefilledAt = now
	}
	k.prefilledAt = k.prefilledAt.Add(prefill)
	k.prefilling = k.prefilling*math.Exp(-float64(now.Sub(k.averagedAt))/float64(prefillWindow)) + float64(prefill)/float64(prefillWindow)
	k.averagedAt = now
	first = k.prefilledAt.Sub(now)
	return first, first + time.Duration(float64(decode)*(1+prefillSlowdown*min(k.prefilling, 1)))
}

type modelRun struct {
	run       *Run
	server    *modelServer
	old, done bool
}

type model struct {
	scenario
	random      *rand.Rand
	now         time.Time
	events      map[int64][]func()
	recorders   []*Recorder
	selectors   []*Selector
	old, target []*modelServer
	oldRuns     map[*modelRun]bool
	evidence    map[string]Evidence
	received    map[string]time.Time
	stored      Rollout
	deadUntil   time.Time
	out         result
}

var origin = time.Unix(1_000_000, 0)

func newModel(s scenario) *model {
	m := &model{
		scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), now: origin.Add(-6 * time.Second), events: map[int64][]func(){},
		evidence: map[string]Evidence{}, received: map[string]time.Time{}, oldRuns: map[*modelRun]bool{},
		stored: Rollout{Service: "s", Target: "v2", Duration: s.Limit, Revision: 1},
	}
	for i := range s.VMs {
		m.recorders = append(m.recorders, NewRecorder(fmt.Sprintf("vm-%d", i), 1))
		m.selectors = append(m.selectors, NewSelector(m.random.Float64))
	}
	var servers []*modelServer
	for i := range s.Old + s.Target {
		servers = append(servers, &modelServer{name: fmt.Sprintf("i-%010d", i), flaky: s.Flaky && m.random.Float64() < 0.14})
	}
	m.old, m.target = servers[:s.Old], servers[s.Old:]
	return m
}

// after runs an event after a delay.
func (m *model) after(d time.Duration, f func()) {
	at := max(m.now.Add(d).UnixNano()/int64(tick), m.now.UnixNano()/int64(tick)+1)
	m.events[at] = append(m.events[at], f)
}

func (m *model) between(a, b time.Duration) time.Duration {
	return a + time.Duration(m.random.Float64()*float64(b-a))
}

func (m *model) elapsed() time.Duration { return m.now.Sub(origin) }

// during reports whether a span of time has begun and not ended.
func (m *model) during(from, length time.Duration) bool {
	return m.elapsed() >= from && m.elapsed() < from+length
}

func (m *model) bursting() bool { return m.Burst > 0 && m.during(m.Burst, 3*time.Second) }

// play runs the order to its time limit.
func (m *model) play() result {
	for ; m.elapsed() < m.Limit; m.now = m.now.Add(tick) {
		at := m.now.UnixNano() / int64(tick)
		for _, f := range m.events[at] {
			f()
		}
		delete(m.events, at)
		m.arrive()
		if m.elapsed() == 0 {
			m.publish()
			m.after(m.Crash, m.crash)
		}
		for i := range m.VMs {
			if m.elapsed() > 0 && (m.elapsed()+time.Duration(i%25)*tick)%(500*time.Millisecond) == 0 {
				m.report(i)
			}
		}
		for _, d := range m.Deaths {
			if m.elapsed() == d {
				m.deadUntil, m.evidence = m.now.Add(2*time.Second), map[string]Evidence{}
			}
		}
		if m.elapsed() >= 200*time.Millisecond && m.elapsed()%(200*time.Millisecond) == 0 && m.now.After(m.deadUntil) {
			m.decide()
		}
	}
	m.out.state = m.stored.Status.State
	return m.out
}

func (m *model) arrive() {
	for route, rate := range m.Rates {
		if m.bursting() {
			rate *= 2.5
		}
		for n := rate * tick.Seconds(); n > 0; n-- {
			if m.random.Float64() < n {
				m.request(m.random.IntN(m.VMs), route)
			}
		}
	}
}

func (m *model) request(vm, route int) {
	rule := m.selectors[vm].Choose("s", fmt.Sprint(route), false)
	u := &modelRun{old: rule.Only != "v2"}
	version := "v1"
	if u.old {
		for u.server = m.old[m.random.IntN(m.Old)]; u.server.crashed; {
			u.server = m.old[m.random.IntN(m.Old)]
		}
		m.oldRuns[u] = true
	} else {
		version, u.server = "v2", m.target[m.random.IntN(used(rule.Concentrate, m.Target))]
	}
	if m.elapsed() >= 0 {
		m.out.all++
		if !u.old {
			m.out.target++
		}
	}
	load := 0.0
	for _, r := range m.Rates {
		load += r * m.Whole.Seconds() / float64(m.Old)
	}
	bad := !u.old && m.bad() && m.elapsed() >= m.BadFrom && (m.BadRoute < 0 || m.BadRoute == route) &&
		(!m.UnderLoad || float64(u.server.running) >= 0.5*load)
	first, whole := m.between(m.First*7/10, m.First*14/10), m.between(m.Whole*7/10, m.Whole*14/10)
	switch {
	case m.Prefill > 0:
		first, whole = u.server.times(m.now, m.between(m.Prefill*7/10, m.Prefill*13/10), m.between(m.Decode*9/10, m.Decode*11/10))
	case m.bursting():
		first, whole = 3*first, 2*whole
	}
	if bad && m.Slow > 0 {
		first, whole = time.Duration(m.Slow*float64(first)), time.Duration(m.Slow*float64(whole))
	}
	u.run = m.recorders[vm].Begin("s", version, fmt.Sprint(route), u.server.name, m.now)
	u.server.running++
	switch {
	case bad && m.random.Float64() < m.Fails || u.server.flaky && m.random.Float64() < 0.45:
		m.after(first/4, func() { m.end(u, Failed) })
	case m.Whole == m.First:
		m.after(first, func() { m.end(u, Succeeded) })
	default:
		m.after(first, func() { u.run.FirstEvent(m.now) })
		m.after(whole, func() { m.end(u, Succeeded) })
	}
}

// used returns the number of servers that a concentration leaves.
func used(concentrate float64, servers int) int {
	if concentrate == 0 {
		return servers
	}
	return min(int(concentrate*float64(servers)+0.999), servers)
}

func (m *model) end(u *modelRun, o Outcome) {
	if !u.done {
		u.done = true
		u.server.running--
		u.run.End(o, 100, m.now)
		delete(m.oldRuns, u)
	}
}

func (m *model) crash() {
	for i, k := range m.old {
		k.crashed = i < m.Old/3 && m.Crash > 0
	}
	for u := range m.oldRuns {
		if u.server.crashed {
			m.end(u, Inconclusive)
		}
	}
}

func (m *model) report(vm int) {
	if m.random.Float64() < m.Loss {
		return
	}
	raw, _ := json.Marshal(m.recorders[vm].Evidence("s", m.now))
	m.after(m.between(0, m.ReportDelay), func() {
		var e Evidence
		if err := json.Unmarshal(raw, &e); err != nil {
			panic(err)
		}
		m.evidence[e.VM], m.received[e.VM] = e, m.now
	})
}

// publish tells each VM the stored state.
func (m *model) publish() {
	r := m.stored
	for _, s := range m.selectors {
		m.after(m.between(50*time.Millisecond, 400*time.Millisecond), func() { s.Set([]Rollout{r}, true) })
	}
}

func (m *model) decide() {
	in := Input{
		Rollout: m.stored, Elapsed: m.elapsed(), TargetServers: m.Target, OldServers: m.Old, OldRuns: len(m.oldRuns),
		StoreCurrent: !m.during(m.StoreFrom, m.StoreFor), CanaryShare: 0.1, CanarySlack: 50,
	}
	for vm, e := range m.evidence {
		e.Age = m.now.Sub(m.received[vm])
		in.Evidence = append(in.Evidence, e)
	}
	d := Decide(in)
	if d.Reason == "" {
		return
	}
	m.out.log = append(m.out.log, fmt.Sprintf("%v: %s %+v", m.elapsed(), d.Reason, d.Status))
	if d.Stop {
		for _, s := range m.selectors {
			if m.random.Float64() >= m.Loss {
				m.after(m.between(20*time.Millisecond, 300*time.Millisecond), func() { s.Stop("s", "v2") })
			}
		}
	}
	if m.during(m.StoreFrom, m.StoreFor) {
		return
	}
	if m.stored.Status = d.Status; !m.stored.Pending() {
		m.out.ended = m.elapsed()
	}
	m.stored.Revision++
	m.publish()
}
