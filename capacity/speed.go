package capacity

import (
	"math"
	"time"
)

// usual is the usual time of a route's requests.
type usual struct {
	seconds float64
	count   int
}

// meanWeight is the weight of one request in the mean of the usual times.
const meanWeight = 0.05

// speed estimates the server's speed relative to its usual one. Its short-term estimate is the usual
// time of recent requests divided by the time that they took, where overdue running requests count
// with the time so far. The published speed changes only if a cumulative sum test of the short-term
// estimate finds a lasting change.
type speed struct {
	config    Config
	routes    map[string]*usual
	published float64
	// credit is the usual time and exposure the actual time of recent requests, in seconds.
	credit, exposure float64
	// mean is the moving average of the usual times of the completed requests, in seconds.
	mean           float64
	slower, faster deviation
	// overtaken is the latest start of a request that completed in its usual time. Running requests
	// that started earlier are exceptions, or lost, and say nothing about the server.
	overtaken    time.Time
	lastEvidence time.Time
	// recovered is the logarithm of the likelihood ratio of a recovery.
	recovered float64
}

// deviation is the cumulative sum of deviations in one direction, with the requests completed since it
// was last 0, which is when the speed may have changed.
type deviation struct {
	sum              float64
	since            time.Time
	credit, exposure float64
	// late is the number of them that took longer than OverdueFactor times their expected time.
	late int
}

// add adds the deviation beyond the band over a step of time.
func (d *deviation) add(amount float64, now time.Time) {
	if d.sum = max(0, d.sum+amount); d.sum == 0 {
		*d = deviation{since: now}
	}
}

func newSpeed(config Config, now time.Time) speed {
	return speed{config: config, routes: map[string]*usual{}, published: 1, lastEvidence: now}
}

func (s *speed) nominal(route string) (float64, bool) {
	u := s.routes[route]
	if u == nil || u.count < s.config.NominalRequests {
		return 0, false
	}
	return u.seconds, true
}

// complete adds a completed request and returns the usual time of its route, if that is known.
func (s *speed) complete(r request, now time.Time) (nominal float64, known bool) {
	took := now.Sub(r.started).Seconds()
	nominal, known = s.nominal(r.route)
	if known {
		s.add(nominal, min(took, s.config.MaxRatio*nominal/s.published), now)
		s.slower.credit, s.slower.exposure = s.slower.credit+nominal, s.slower.exposure+took
		if took > s.config.OverdueFactor*nominal/s.published {
			s.slower.late++
		}
		if !r.started.Before(s.faster.since) {
			s.faster.credit, s.faster.exposure = s.faster.credit+nominal, s.faster.exposure+took
		}
		if took <= nominal && r.started.After(s.overtaken) {
			s.overtaken = r.started
		}
		s.checkRecovery(r.started, nominal/took, now)
	}
	if !known || s.published >= s.config.NominalFrom && s.slower.sum < s.config.Threshold/2 {
		s.learnUsual(r.route, took*s.published)
	}
	return nominal, known
}

// checkRecovery tests with each completed request whether a slow server has recovered, by the ratio of
// the likelihoods of the usual and the published speed, for log-normal times. A slow server gets so few
// requests that the short-term estimate would take seconds.
func (s *speed) checkRecovery(started time.Time, speed float64, now time.Time) {
	if s.published >= s.config.NominalFrom {
		s.recovered = 0
		return
	}
	slow, usual := math.Log(speed/s.published), math.Log(speed)
	s.recovered = max(0, s.recovered+(slow*slow-usual*usual)/(2*s.config.LogSpread*s.config.LogSpread))
	if s.recovered < s.config.RecoveryEvidence {
		return
	}
	s.recovered = 0
	if started.After(s.overtaken) {
		s.overtaken = started
	}
	s.publish(1, now)
}

func (s *speed) add(credit, exposure float64, now time.Time) {
	s.credit += credit
	s.exposure += exposure
	if s.mean == 0 {
		s.mean = credit
	}
	s.mean += meanWeight * (credit - s.mean)
	s.lastEvidence = now
}

func (s *speed) learnUsual(route string, seconds float64) {
	u := s.routes[route]
	if u == nil {
		u = &usual{}
		s.routes[route] = u
	}
	if u.count++; u.count > s.config.NominalRequests {
		seconds = min(seconds, s.config.MaxUsualRatio*u.seconds)
	}
	weight := s.config.NominalWeight
	if s.published > 1 {
		// A server that is faster than usual had its usual time learned under overload or while cold.
		weight = s.config.FasterWeight
	}
	u.seconds += max(weight, 1/float64(u.count)) * (seconds - u.seconds)
}

// reported adds the server's own statement. It adds no time of last evidence: a server may state
// that it is as usual without regard to its requests.
func (s *speed) reported(percent float64) {
	weight := s.config.ReportedWeight * s.mean
	s.credit += weight
	s.exposure += weight * min(max(percent/100, 1/s.config.MaxSpeed), 1/s.config.MinSpeed)
}

// shortTerm returns the short-term estimate. Running requests count once they are overdue.
func (s *speed) shortTerm(running map[ID]request, now time.Time) float64 {
	prior := max(s.config.PriorRequests*s.mean, 1e-6)
	credit, exposure, _ := s.overdue(running, s.config.MaxRatio/s.published, now)
	return (s.credit + credit + prior*s.published) / (s.exposure + exposure + prior)
}

// overdue returns the usual time of the overdue running requests, the time that they have taken, and
// their number. A request counts as at most maxRatio times its usual time.
func (s *speed) overdue(running map[ID]request, maxRatio float64, now time.Time) (credit, exposure float64, count int) {
	for _, r := range running {
		nominal, known := s.nominal(r.route)
		took := now.Sub(r.started).Seconds()
		if !known || r.started.Before(s.overtaken) || took < s.config.OverdueFactor*nominal/s.published {
			continue
		}
		credit += nominal
		exposure += min(took, maxRatio*nominal)
		count++
	}
	return credit, exposure, count
}

func (s *speed) advance(running map[ID]request, passed time.Duration, now time.Time) {
	decay := math.Exp(-passed.Seconds() / s.config.Window.Seconds())
	s.credit, s.exposure = s.credit*decay, s.exposure*decay
	estimate := min(max(s.shortTerm(running, now), s.config.MinSpeed), s.config.MaxSpeed)
	deviates, step := math.Log2(estimate/s.published), min(passed, s.config.Window).Seconds()
	s.slower.add((-deviates-s.config.Band)*step, now)
	s.faster.add((deviates-s.config.Band)*step, now)
	switch {
	case s.slower.sum > s.config.Threshold:
		// The requests since the change tell more than the estimate, which lags.
		credit, exposure, count := s.overdue(running, s.config.MaxOverdue, now)
		if s.slower.late+count < s.config.MinLate {
			break // one long request says little about the server
		}
		if exposure += s.slower.exposure; exposure > 0 {
			estimate = max(min(estimate, (s.slower.credit+credit)/exposure), s.config.MinSpeed)
		}
		s.publish(estimate, now)
	case s.faster.sum > s.config.Threshold:
		if s.faster.exposure > 0 {
			estimate = max(estimate, min(s.faster.credit/s.faster.exposure, 1))
		}
		s.publish(estimate, now)
	case s.published >= s.config.NominalFrom:
		s.approach(1, passed, s.config.Relaxation)
	case len(running) == 0 && now.Sub(s.lastEvidence) > s.config.IdleAfter:
		s.approach(1, passed, s.config.IdleAfter)
	case deviates <= s.config.Band:
		// A greater estimate is left to the test, which finds a recovery sooner.
		s.approach(estimate, passed, s.config.Tracking)
	}
}

// approach moves the published speed towards a value with a time constant.
func (s *speed) approach(value float64, passed, constant time.Duration) {
	s.published += (value - s.published) * -math.Expm1(-passed.Seconds()/constant.Seconds())
}

// publish sets the speed and drops the completed requests from the estimate, because most of them
// ran before the change.
func (s *speed) publish(estimate float64, now time.Time) {
	s.published, s.credit, s.exposure = estimate, 0, 0
	s.slower, s.faster = deviation{since: now}, deviation{since: now}
}

// meanTook returns how long the mean request takes at the published speed, in seconds.
func (s *speed) meanTook() float64 { return s.mean / s.published }
