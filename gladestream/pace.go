package gladestream

import (
	"cmp"
	"sync"
	"time"
)

// Timeouts sets how long a Runner waits for an engine; a zero field means its default.
type Timeouts struct {
	// Floor and Ceiling bound the wait between tokens; zero means 400 ms and 1.5 s.
	Floor   time.Duration
	Ceiling time.Duration
	// Multiple is the wait as a multiple of the observed time between tokens; zero means 4.
	Multiple float64
	// First and FirstResumed are the least waits for the first token of a new and of a resumed attempt;
	// zero means 5 s and 1.2 s.
	First        time.Duration
	FirstResumed time.Duration
	// FirstCeiling bounds the wait for the first token; zero means 1 minute.
	FirstCeiling time.Duration
	// PerPromptToken is added to the wait for the first token for each token of the prompt; zero means 500 µs.
	PerPromptToken time.Duration
}

const (
	defaultFloor          = 400 * time.Millisecond
	defaultCeiling        = 1500 * time.Millisecond
	defaultMultiple       = 4
	defaultFirst          = 5 * time.Second
	defaultFirstResumed   = 1200 * time.Millisecond
	defaultFirstCeiling   = time.Minute
	defaultPerPromptToken = 500 * time.Microsecond
	// bytesPerToken estimates the tokens of a prompt that no engine has counted yet.
	bytesPerToken = 3
	// meanGain and deviationGain are the weights of a new observation.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	deviations    = 4
)

func (t *Timeouts) setDefaults() {
	t.Floor = cmp.Or(t.Floor, defaultFloor)
	t.Ceiling = cmp.Or(t.Ceiling, defaultCeiling)
	t.Multiple = cmp.Or(t.Multiple, defaultMultiple)
	t.First = cmp.Or(t.First, defaultFirst)
	t.FirstResumed = cmp.Or(t.FirstResumed, defaultFirstResumed)
	t.FirstCeiling = cmp.Or(t.FirstCeiling, defaultFirstCeiling)
	t.PerPromptToken = cmp.Or(t.PerPromptToken, defaultPerPromptToken)
}

// pace is a moving mean of a time and its deviation.
type pace struct {
	mean      float64
	deviation float64
}

func (p *pace) observe(d time.Duration) {
	x := float64(d)
	if p.mean == 0 {
		p.mean = x
		p.deviation = x / 2
		return
	}
	p.deviation += deviationGain * (max(x-p.mean, p.mean-x) - p.deviation)
	p.mean += meanGain * (x - p.mean)
}

// bound returns a time that few observations exceed.
func (p *pace) bound() float64 {
	return p.mean + deviations*p.deviation
}

// paces holds what attempts observed, by target.
type paces struct {
	mu      sync.Mutex
	spacing map[string]pace
	first   map[string]pace
}

func (p *paces) spacingOf(target string) pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spacing[target]
}

// learn adds the mean spacing of one attempt.
func (p *paces) learn(target string, spacing pace) {
	if spacing.mean == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spacing == nil {
		p.spacing = map[string]pace{}
	}
	known := p.spacing[target]
	known.observe(time.Duration(spacing.mean))
	p.spacing[target] = known
}

// learnFirst adds the wait for a first token beyond what its prompt explains.
func (p *paces) learnFirst(target string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first == nil {
		p.first = map[string]pace{}
	}
	known := p.first[target]
	known.observe(max(d, time.Millisecond))
	p.first[target] = known
}

// between returns the wait for the next token after an attempt's observed spacing.
func (t *Timeouts) between(p *pace) time.Duration {
	if p.mean == 0 {
		return t.Ceiling
	}
	return min(max(time.Duration(t.Multiple*p.bound()), t.Floor), t.Ceiling)
}

// firstToken returns the wait for the first token, doubled for each earlier one that was in vain.
func (r *Runner) firstToken(o *OpenRequest, inVain int) time.Duration {
	t := &r.config.Timeouts
	r.paces.mu.Lock()
	known := r.paces.first[o.Generation.Target.String()]
	r.paces.mu.Unlock()
	d := t.First
	if len(o.Delivered) > 0 {
		d = t.FirstResumed
	}
	d = max(d, time.Duration(t.Multiple*known.bound()))
	d += time.Duration(promptLen(o)) * t.PerPromptToken
	return min(d<<min(inVain, 10), t.FirstCeiling)
}

func promptLen(o *OpenRequest) int {
	n := len(o.PromptTokens)
	if n == 0 {
		n = (len(o.Generation.Prompt) + len(o.Generation.Messages)) / bytesPerToken
	}
	return n + len(o.Delivered)
}
