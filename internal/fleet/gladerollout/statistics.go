package gladerollout

import "math"

const (
	// priorHits and priorMisses stand for what is known of an old version without evidence: some 5% of its answers are
	// failures or slow. They weigh as much as ten answers.
	priorHits, priorMisses = 0.5, 9.5
	// gridPoints is the number of points at which the distribution of the old version's rate is evaluated, over
	// gridDeviations standard deviations to both sides.
	gridPoints, gridDeviations = 33, 4.5
)

// proportion is a number of hits (failures, or slow answers) among a number of answers. Hits may be a fraction if they
// are weighted.
type proportion struct{ hits, total float64 }

func (p proportion) rate() float64 {
	if p.total == 0 {
		return 0
	}
	return p.hits / p.total
}

func (p proportion) plus(o proportion) proportion {
	return proportion{p.hits + o.hits, p.total + o.total}
}

// exceeds reports whether the target's rate exceeds the old version's by more than the margin, at a one-sided
// significance level.
func exceeds(target, old proportion, margin, level float64) bool {
	return target.total > 0 && target.rate()-old.rate() > margin && excessProbability(target, old, margin) < level
}

// excessProbability returns the probability that a target whose rate is the old version's plus the margin shows at least
// as many hits as were seen. It is the exact binomial probability, averaged over the distribution of the old version's
// rate given its answers, and so holds for small numbers too.
func excessProbability(target, old proportion, margin float64) float64 {
	a, b := old.hits+priorHits, old.total-old.hits+priorMisses
	mean := a / (a + b)
	spread := gridDeviations * math.Sqrt(mean*(1-mean)/(a+b+1))
	low, high := max(0, mean-spread), min(1, mean+spread)
	hits, total := int(math.Round(target.hits)), int(math.Round(target.total))
	sum, weights := 0.0, 0.0
	for i := range gridPoints {
		p := low + (high-low)*(float64(i)+0.5)/gridPoints
		weight := math.Exp((a-1)*math.Log(p/mean) + (b-1)*math.Log((1-p)/(1-mean)))
		sum += weight * binomialTail(hits, total, min(p+margin, 1))
		weights += weight
	}
	return sum / weights
}

// binomialTail returns the probability of at least k hits among n with the given rate.
func binomialTail(k, n int, rate float64) float64 {
	switch {
	case k <= 0 || rate >= 1:
		return 1
	case rate <= 0 || k > n:
		return 0
	}
	lgamma := func(x int) float64 { l, _ := math.Lgamma(float64(x) + 1); return l }
	term := math.Exp(lgamma(n) - lgamma(k) - lgamma(n-k) + float64(k)*math.Log(rate) + float64(n-k)*math.Log(1-rate))
	sum := term
	for i := k; i < n; i++ {
		term *= float64(n-i) / float64(i+1) * rate / (1 - rate)
		sum += term
		if term < sum*1e-9 && float64(i) > float64(n)*rate {
			break
		}
	}
	return min(sum, 1)
}
