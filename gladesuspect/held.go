package gladesuspect

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// firstTrialDelay is the time after which a first request with a held part may be sent as a trial; it grows by trialFactor
	// with each one.
	firstTrialDelay = 6 * time.Second
	trialFactor     = 4
	// maxTrialSteps is the number of trials after which the time no longer grows.
	maxTrialSteps = 4
	// maxAnswerDelay is the longest time that a VM waits before it reports an earlier answer, in case another one does.
	maxAnswerDelay = 150 * time.Millisecond
	// toldInterval is the least age of a VM's report of an answer from which a newer one is worth another report.
	toldInterval = time.Second
	// maxFormattedParts is the number of parts that FormatParts names.
	maxFormattedParts = 16
)

// HeldParts is a set of parts of requests. Requests that have all of them are refused.
type HeldParts struct {
	// ID identifies the set at all VMs.
	ID    uint64   `json:"id"`
	Parts []uint64 `json:"parts"`
	// Until is the time at which the refusal expires.
	Until time.Time `json:"until"`
	// Deaths is the number of deaths for which the set is held.
	Deaths int `json:"deaths"`
	// Trials is the number of requests that were sent in spite of the refusal, to see whether it still holds.
	Trials int `json:"trials,omitempty"`
	// Age is the time since the last of those deaths; it is set in reports only.
	Age time.Duration `json:"age,omitempty"`
	// Claim orders the VMs that start the same trial at the same time: the smallest sends it.
	Claim uint64 `json:"claim,omitempty"`
}

// PartAnswer reports that a request with a part was answered.
type PartAnswer struct {
	Part uint64 `json:"part"`
	// Age is the time since the answer began.
	Age time.Duration `json:"age"`
}

// heldSet is a HeldParts at this VM.
type heldSet struct {
	HeldParts
	// since is the time of the last death for which it is held; a later answer releases the parts that it has.
	since     time.Time
	nextTrial time.Time
}

// trialDelay returns the time until the trial after a number of trials.
func trialDelay(trials int) time.Duration {
	d := firstTrialDelay
	for range min(trials, maxTrialSteps) {
		d *= trialFactor
	}
	return d
}

// holdCulprits holds the parts to which the known deaths are attributed.
func (t *Tracker) holdCulprits(parts []uint64) {
	for {
		now := time.Now()
		s, ok := t.parts.culprit(parts, now, t.config.Window)
		if !ok {
			return
		}
		h := &heldSet{
			HeldParts: HeldParts{ID: rand.Uint64(), Parts: s.together, Until: now.Add(t.config.Retention), Deaths: len(s.deaths)},
			since:     s.deaths[len(s.deaths)-1].at, nextTrial: now.Add(trialDelay(0)),
		}
		t.hold(h)
		t.config.Log.Warn("Prompt parts refused.", "set", h.ID, "parts", FormatParts(h.Parts), "deaths", h.Deaths,
			"firstMs", now.Sub(s.deaths[0].at).Milliseconds(), "lastMs", now.Sub(h.since).Milliseconds(),
			"answeredBefore", !t.parts.lastAnswer(s.part).IsZero())
		t.reportHeld(h)
	}
}

func (t *Tracker) reportHeld(h *heldSet) {
	if t.config.OnHeld == nil {
		return
	}
	report := h.HeldParts
	report.Age = time.Since(h.since)
	go t.config.OnHeld(report)
}

// hold adds a held set and ends the runs of the requests that have its parts.
func (t *Tracker) hold(h *heldSet) {
	t.parts.add(h)
	for _, runs := range t.runs {
		for _, v := range runs {
			if v.onRefused != nil && !v.request.Trial && !v.Progressed() && containsAll(v.request.Parts, h.Parts) {
				go v.onRefused()
				v.onRefused = nil
			}
		}
	}
}

// checkParts returns ErrPoison if a request has all parts of a held set. It reports whether the request may be sent as a trial.
func (t *Tracker) checkParts(r Request) (trial bool, err error) {
	h := t.parts.holding(r.Parts)
	switch {
	case h == nil, r.Trial:
		return r.Trial, nil
	case time.Now().Before(h.nextTrial):
		return false, h.refusal()
	}
	h.Trials++
	h.Claim = rand.Uint64()
	h.nextTrial = time.Now().Add(trialDelay(h.Trials))
	h.Until = time.Now().Add(t.config.Retention)
	t.config.Log.Info("Trial of refused prompt parts.", "set", h.ID, "parts", FormatParts(h.Parts), "trial", h.Trials)
	t.reportHeld(h)
	return true, nil
}

// confirmTrial waits for the claims of other VMs that start the same trial at the same time, and returns ErrPoison if another one
// comes first.
func (t *Tracker) confirmTrial(ctx context.Context, r Request) error {
	t.mu.Lock()
	h := t.parts.holding(r.Parts)
	if h == nil {
		t.mu.Unlock()
		return nil
	}
	claim := h.Claim
	t.mu.Unlock()
	if err := t.wait(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h = t.parts.holding(r.Parts); h == nil || h.Claim == claim {
		return nil
	}
	return h.refusal()
}

// confirmHeld waits for other deaths and answers of the same time, and holds the parts to which the deaths are attributed then. It
// returns ErrPoison if the request has them.
func (t *Tracker) confirmHeld(ctx context.Context, r Request) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdCulprits(r.Parts)
	if h := t.parts.holding(r.Parts); h != nil {
		return h.refusal()
	}
	return nil
}

func (t *Tracker) wait(ctx context.Context) error {
	select {
	case <-time.After(t.config.Window):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *heldSet) refusal() error {
	return &HeldError{Set: s.ID, Deaths: s.Deaths, RetryAfter: time.Until(s.nextTrial)}
}

// HeldError is ErrPoison for a request that has all parts of a held set.
type HeldError struct {
	// Set identifies the held set, and Deaths is the number of deaths for which it is held.
	Set    uint64
	Deaths int
	// RetryAfter is the time until a request with these parts is sent as a trial.
	RetryAfter time.Duration
}

func (e *HeldError) Error() string {
	return "parts of the prompt are refused: " + strconv.Itoa(e.Deaths) + " servers died on them (set " + strconv.FormatUint(e.Set, 16) + ")"
}

// Is reports whether target is ErrPoison.
func (*HeldError) Is(target error) bool {
	return target == ErrPoison
}

// ImportHeld adds the held sets of another Tracker. They expire after this Tracker's retention at the latest.
func (t *Tracker) ImportHeld(hs []HeldParts) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	latest := now.Add(t.config.Retention)
	for _, h := range hs {
		if h.Until.After(latest) {
			h.Until = latest
		}
		if len(h.Parts) == 0 || now.After(h.Until) || t.parts.released.Contains(h.ID) {
			continue
		}
		if known := t.parts.heldAs(h); known != nil {
			known.merge(h, now)
			continue
		}
		if t.parts.holding(h.Parts) == nil {
			set := &heldSet{HeldParts: h, since: now.Add(-max(0, h.Age)), nextTrial: now.Add(trialDelay(h.Trials))}
			set.Age = 0
			t.hold(set)
		}
	}
}

// merge updates a held set to another VM's report of it.
func (s *heldSet) merge(h HeldParts, now time.Time) {
	if len(h.Parts) < len(s.Parts) && containsAll(s.Parts, h.Parts) {
		s.Parts = h.Parts
	}
	switch {
	case h.Trials > s.Trials:
		s.Trials, s.Claim, s.Until, s.nextTrial = h.Trials, h.Claim, h.Until, now.Add(trialDelay(h.Trials))
	case h.Trials == s.Trials && h.Claim != 0:
		s.Claim = cmp.Or(min(s.Claim, h.Claim), h.Claim)
	}
}

// Held returns the held sets, sorted by expiry.
func (t *Tracker) Held() []HeldParts {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	held := make([]HeldParts, 0, len(t.parts.held))
	for _, h := range t.parts.held {
		held = append(held, h.HeldParts)
	}
	slices.SortFunc(held, func(a, b HeldParts) int { return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.ID, b.ID)) })
	return held
}

// recordAnswer records that a run answers its request, which shows its parts to be harmless now.
func (t *Tracker) recordAnswer(v *TrackedRun) {
	if v.request.Resumed || len(v.request.Parts) == 0 {
		return
	}
	now := time.Now()
	var news []PartAnswer
	for _, p := range v.request.Parts {
		if len(t.releaseAnswered(p, now)) > 0 || t.parts.isSuspected(p) {
			news = append(news, PartAnswer{Part: p})
			t.parts.told.Add(p, now)
		}
		t.parts.answered.Add(p, now)
	}
	if len(news) > 0 && t.config.OnAnswered != nil {
		go t.config.OnAnswered(news)
	}
}

func (t *Tracker) releaseAnswered(part uint64, at time.Time) []HeldParts {
	changed := t.parts.release(part, at)
	for _, h := range changed {
		t.config.Log.Info("Prompt part no longer refused.", "set", h.ID, "parts", FormatParts(h.Parts), "answered", FormatParts([]uint64{part}),
			"ageMs", time.Since(at).Milliseconds())
	}
	return changed
}

// PartsAnsweredElsewhere records that runs of another VM have answered requests with those parts.
func (t *Tracker) PartsAnsweredElsewhere(answers []PartAnswer) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range answers {
		at := time.Now().Add(-max(0, a.Age))
		t.releaseAnswered(a.Part, at)
		if at.After(t.parts.lastAnswer(a.Part)) {
			t.parts.answered.Add(a.Part, at)
		}
		if told, _ := t.parts.told.Peek(a.Part); at.After(told) {
			t.parts.told.Add(a.Part, at)
		}
	}
}

// shareAnswers reports the last answers that this VM knows to requests with the parts of a lost run, unless the other VMs know them.
func (t *Tracker) shareAnswers(parts []uint64) {
	if t.config.OnAnswered == nil || len(t.untoldAnswers(parts)) == 0 {
		return
	}
	time.AfterFunc(rand.N(maxAnswerDelay), func() {
		t.mu.Lock()
		answers := t.untoldAnswers(parts)
		for _, a := range answers {
			t.parts.told.Add(a.Part, time.Now().Add(-a.Age))
		}
		t.mu.Unlock()
		if len(answers) > 0 {
			t.config.OnAnswered(answers)
		}
	})
}

func (t *Tracker) untoldAnswers(parts []uint64) []PartAnswer {
	var answers []PartAnswer
	for _, p := range parts {
		at := t.parts.lastAnswer(p)
		told, _ := t.parts.told.Peek(p)
		if time.Since(at) < answerMemory && at.Sub(told) > toldInterval {
			answers = append(answers, PartAnswer{Part: p, Age: time.Since(at)})
		}
	}
	return answers
}

// FormatParts returns the first parts in hexadecimal, for a log line.
func FormatParts(parts []uint64) string {
	var b []byte
	for i, p := range parts[:min(len(parts), maxFormattedParts)] {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, p, 16)
	}
	return string(b)
}
