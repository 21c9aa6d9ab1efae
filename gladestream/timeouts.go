package gladestream

import (
	"cmp"
	"sync"
	"time"
)

// Timeouts configures how long a Runner waits for tokens. Zero fields have defaults.
type Timeouts struct {
	// TokenFloor is the minimum wait between two tokens; zero means 400 ms.
	TokenFloor time.Duration
	// TokenCeiling is the maximum wait between two tokens; zero means 1.5 s.
	TokenCeiling time.Duration
	// DelayMultiple scales the observed upper bound of a delay to a timeout; zero means 4.
	DelayMultiple float64
	// FirstTokenFloor is the minimum wait for the first token of a new attempt; zero means 5 s.
	FirstTokenFloor time.Duration
	// ResumedFirstTokenFloor is the minimum wait for the first token of a resumed attempt; zero means 1.2 s.
	ResumedFirstTokenFloor time.Duration
	// FirstTokenCeiling is the maximum wait for the first token; zero means 1 minute.
	FirstTokenCeiling time.Duration
	// PerPromptToken is added to the wait for the first token for each prompt token; zero means 500 µs.
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
	// bytesPerToken estimates the length of a prompt that no engine has tokenised yet.
	bytesPerToken = 3
	// meanGain is the weight of a new observation in the moving average of the delay.
	meanGain = 1.0 / 8
	// deviationGain is the weight of a new observation in the moving average of the deviation.
	deviationGain     = 1.0 / 4
	deviationMultiple = 4
)

func (t *Timeouts) setDefaults() {
	t.TokenFloor = cmp.Or(t.TokenFloor, defaultFloor)
	t.TokenCeiling = cmp.Or(t.TokenCeiling, defaultCeiling)
	t.DelayMultiple = cmp.Or(t.DelayMultiple, defaultMultiple)
	t.FirstTokenFloor = cmp.Or(t.FirstTokenFloor, defaultFirst)
	t.ResumedFirstTokenFloor = cmp.Or(t.ResumedFirstTokenFloor, defaultFirstResumed)
	t.FirstTokenCeiling = cmp.Or(t.FirstTokenCeiling, defaultFirstCeiling)
	t.PerPromptToken = cmp.Or(t.PerPromptToken, defaultPerPromptToken)
}

// delayEstimate holds moving averages of a delay and of its deviation, in nanoseconds.
type delayEstimate struct {
	mean      float64
	deviation float64
}

func (p *delayEstimate) observe(d time.Duration) {
	x := float64(d)
	if p.mean == 0 {
		p.mean = x
		p.deviation = x / 2
		return
	}
	p.deviation += deviationGain * (max(x-p.mean, p.mean-x) - p.deviation)
	p.mean += meanGain * (x - p.mean)
}

// upperBound returns a delay in nanoseconds that few observations exceed.
func (p *delayEstimate) upperBound() float64 {
	return p.mean + deviationMultiple*p.deviation
}

// delayEstimates holds the delays observed by all attempts, by target.
type delayEstimates struct {
	mu         sync.Mutex
	spacing    map[string]delayEstimate
	firstToken map[string]delayEstimate
}

func (p *delayEstimates) spacingFor(target string) delayEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spacing[target]
}

// observeSpacing adds the mean time between the tokens of one attempt.
func (p *delayEstimates) observeSpacing(target string, spacing delayEstimate) {
	if spacing.mean == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spacing == nil {
		p.spacing = map[string]delayEstimate{}
	}
	known := p.spacing[target]
	known.observe(time.Duration(spacing.mean))
	p.spacing[target] = known
}

// observeFirstToken adds the wait for a first token, less the time allowed for its prompt.
func (p *delayEstimates) observeFirstToken(target string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstToken == nil {
		p.firstToken = map[string]delayEstimate{}
	}
	known := p.firstToken[target]
	known.observe(max(d, time.Millisecond))
	p.firstToken[target] = known
}

// betweenTokens returns the timeout for the next token from the observed spacing.
func (t *Timeouts) betweenTokens(p *delayEstimate) time.Duration {
	if p.mean == 0 {
		return t.TokenCeiling
	}
	return min(max(time.Duration(t.DelayMultiple*p.upperBound()), t.TokenFloor), t.TokenCeiling)
}

// firstTokenTimeout returns the timeout for the first token, doubled for each earlier attempt that exceeded its own.
func (r *Runner) firstTokenTimeout(o *OpenRequest, earlierTimeouts int) time.Duration {
	t := &r.config.Timeouts
	r.delays.mu.Lock()
	known := r.delays.firstToken[o.Generation.Target.String()]
	r.delays.mu.Unlock()
	d := t.FirstTokenFloor
	if len(o.Delivered) > 0 {
		d = t.ResumedFirstTokenFloor
	}
	d = max(d, time.Duration(t.DelayMultiple*known.upperBound()))
	d += time.Duration(estimateContextLen(o)) * t.PerPromptToken
	return min(d<<min(earlierTimeouts, 10), t.FirstTokenCeiling)
}

func estimateContextLen(o *OpenRequest) int {
	n := len(o.PromptTokens)
	if n == 0 {
		n = (len(o.Generation.Prompt) + len(o.Generation.Messages)) / bytesPerToken
	}
	return n + len(o.Delivered)
}
