package gladerollout

import (
	"slices"
	"time"
)

const (
	// The budget for a version of which nothing is known is a part of the bound on what a bad version may get. The rest
	// is for the time until badness seen after a step up has stopped the target everywhere.
	budgetShare, budgetSlack = 0.8, 0.5
	// maxRouteShare leaves the old version a part of each route to compare with.
	maxRouteShare = 0.75
	// maxRouteRate bounds the target's requests per second and route. A route with 200 requests per second needs no more
	// of them for evidence than one with 40, and the budget saved serves the steps up.
	maxRouteRate = 5.0
	// rateFrom and rateTo are the ages of the requests whose rate is measured. Younger ones are not in all reports yet.
	rateFrom, rateTo = 1 * time.Second, 5 * time.Second
	// reportDelay is the age up to which requests may be missing in the reports.
	reportDelay = 1500 * time.Millisecond
	// planSlack is added to the time that the first stage takes from the first answer, for the first answer itself and for
	// the delay of the reports.
	planSlack = 3 * time.Second
	// minPlan is the shortest time over which the budget that is left is spread.
	minPlan = 3 * time.Second
	// maxRaise bounds a rise of a route's share before the version is proven, in case the reports are incomplete.
	maxRaise = 8
	// significantChange is the relative change from which on new shares are written.
	significantChange = 0.25
	// knownRate is the part of the last known rate that reports must show for shares to rise. A new decider does not have
	// all reports at first.
	knownRate = 0.7
)

// canary are the shares of a version of which little is known, and the requests per second on which they are based.
type canary struct {
	routes, rates map[string]float64
	rate          float64
}

// total returns the fraction of all requests that the shares make up.
func (k canary) total() float64 {
	share := 0.0
	for name, rate := range k.rates {
		share += k.routes[name] * rate / k.rate
	}
	return share
}

// canary returns shares within the budget of requests, divided evenly between the routes.
func (s *sums) canary(in Input) canary {
	target, all := s.exposure(in.Elapsed)
	k, unreported := canary{rates: map[string]float64{}}, 0.0
	for _, name := range s.names() {
		if rate := s.routes[name].rate(); rate > 0 {
			k.rates[name] = rate
			k.rate += rate
			unreported += rate * routeShare(in.Rollout.Status, name) * min(reportDelay, in.Elapsed).Seconds()
		}
	}
	plan := max(firstStage(in.Rollout.Duration)+planSlack-in.SinceAnswer, minPlan).Seconds()
	slack := budgetSlack * in.CanarySlack * min(1, window.Seconds()/max(in.Elapsed.Seconds(), 1))
	budget := budgetShare*in.CanaryShare*(float64(all)+k.rate*plan) + slack - float64(target) - unreported
	k.routes = divide(max(budget, 0)/plan, k.rates)
	return k
}

// divide divides a number of requests per second evenly between routes. What a route cannot use goes to the others.
func divide(budget float64, rates map[string]float64) map[string]float64 {
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if rates[a] != rates[b] && rates[a] < rates[b] {
			return -1
		}
		return 1
	})
	shares := make(map[string]float64, len(names))
	for i, name := range names {
		part := min(budget/float64(len(names)-i), maxRouteRate, maxRouteShare*rates[name])
		shares[name] = part / rates[name]
		budget -= part
	}
	return shares
}

// concentration returns the fraction of the target's servers that get the target's share if each is to carry at least
// what an old server carries. At least minFailing are used, so that faulty servers are not taken for a bad version.
func concentration(share float64, target, old int) float64 {
	if share >= 1 || target <= minFailing || old == 0 {
		return 0
	}
	n := max(minFailing, int(share/(1-share)*float64(old)))
	if n >= target {
		return 0
	}
	return float64(n) / float64(target)
}

// routeShare returns the share of a route.
func routeShare(s Status, route string) float64 {
	if share, ok := s.RouteShares[route]; ok {
		return share
	}
	return s.Share
}
