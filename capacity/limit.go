package capacity

import (
	"math"
	"time"
)

const (
	// runningWindow is the time constant of the mean number of running requests.
	runningWindow = 300 * time.Millisecond
	// pressedShare is the share of a limit that must be in use on average for a comparison.
	pressedShare = 0.85
	// settlePart is the part of a phase that is left out of its measurement, because requests of the
	// phase before end in it.
	settlePart = 0.3
	// trialPhases is the number of phases of a trial; the present and the tried limit alternate.
	trialPhases = 4
	// loadWeight is the weight of one request in the speeds at light and at full load.
	loadWeight = 0.02
)

// loadSpeed is the mean speed of the requests that ran at a level of load.
type loadSpeed struct {
	credit, exposure float64
	count            int
}

func (s *loadSpeed) add(credit, exposure, weight float64) {
	s.credit, s.exposure = s.credit*(1-weight)+credit, s.exposure*(1-weight)+exposure
	s.count++
}

// trial compares the present limit with another one, in alternating phases.
type trial struct {
	limit int
	phase int
	began time.Time
	ends  time.Time
	// work is the usual time of the requests completed in the measured part of the phases, in
	// seconds per second; even phases run at the present limit.
	work      [trialPhases]float64
	completed int
}

// limitSearch finds the limit. It lowers it only if requests are slower at full than at light load
// and a trial shows that a lower limit completes as much work, so a server that only became slower,
// or keeps its speed at all its slots, stays at its slots.
type limitSearch struct {
	config       Config
	slots, limit int
	light, full  loadSpeed
	// unexplored is set until a trial shows that the next lower limit completes less. The first trial
	// of an incarnation needs no suspicion: under constant overload there is never light load.
	unexplored bool
	running    float64 // moving average
	trial      *trial
	nextTrial  time.Time
	pause      time.Duration
	successes  int // consecutive successful trials
	at         time.Time
}

func newLimitSearch(config Config, slots int, now time.Time) limitSearch {
	return limitSearch{config: config, slots: slots, limit: slots, unexplored: true, pause: config.MinPause, nextTrial: now, at: now}
}

// current returns the limit in force, which is the tried one in every other phase of a trial.
func (s *limitSearch) current() int {
	if s.trial != nil && s.trial.phase%2 == 1 {
		return s.trial.limit
	}
	return s.limit
}

func (s *limitSearch) complete(nominal, took, concurrency float64) {
	if concurrency <= float64(s.slots)/2 {
		s.light.add(nominal, took, loadWeight)
	}
	if concurrency >= pressedShare*float64(s.limit) {
		s.full.add(nominal, took, loadWeight)
	}
	t := s.trial
	if t == nil || s.at.Before(t.began.Add(time.Duration(settlePart*float64(t.ends.Sub(t.began))))) {
		return
	}
	t.work[t.phase] += nominal
	t.completed++
}

func (s *limitSearch) advance(running int, meanTook float64, passed time.Duration, now time.Time) {
	s.at = now
	s.running += (float64(running) - s.running) * -math.Expm1(-passed.Seconds()/runningWindow.Seconds())
	switch {
	case s.trial != nil:
		s.continueTrial(meanTook, now)
	case now.Before(s.nextTrial) || !s.pressed():
	case s.kneeSuspected() || s.mayExplore():
		s.startTrial(max(1, int(s.config.LowerStep*float64(s.limit))), meanTook, now)
	case s.limit < s.slots:
		s.startTrial(min(s.slots, int(math.Ceil(s.config.RaiseStep*float64(s.limit)))), meanTook, now)
	}
}

func (s *limitSearch) pressed() bool { return s.running >= pressedShare*float64(s.current()) }

func (s *limitSearch) kneeSuspected() bool {
	enough := s.config.NominalRequests
	return s.limit > 1 && s.light.count >= enough && s.full.count >= enough &&
		s.full.credit/s.full.exposure < s.config.KneeRatio*s.light.credit/s.light.exposure
}

// mayExplore reports whether a lower limit is tried without suspicion.
func (s *limitSearch) mayExplore() bool {
	return s.unexplored && s.limit > 1 && (s.limit < s.slots || s.light.count < s.config.NominalRequests)
}

func (s *limitSearch) startTrial(limit int, meanTook float64, now time.Time) {
	s.trial = &trial{limit: limit, began: now, ends: now.Add(s.phaseLength(meanTook))}
}

func (s *limitSearch) phaseLength(meanTook float64) time.Duration {
	length := time.Duration(s.config.PhaseRequests * meanTook * float64(time.Second))
	return min(max(length, s.config.MinPhase), s.config.MaxPhase)
}

func (s *limitSearch) continueTrial(meanTook float64, now time.Time) {
	t := s.trial
	if now.Before(t.ends) {
		return
	}
	lower := t.limit < s.limit
	// A phase with free slots measures the demand, and one with few requests chance. A lower limit
	// with free slots may have worked off what waited.
	if !s.pressed() && !(lower && t.phase%2 == 1) || t.completed < s.config.MinCompleted {
		s.endTrial(now, s.config.MinPhase)
		return
	}
	t.work[t.phase] /= (1 - settlePart) * t.ends.Sub(t.began).Seconds()
	t.phase++
	first, present, tried := t.phase == 2, t.work[0]+t.work[2], t.work[1]+t.work[3]
	switch {
	case first && tried >= s.config.EarlySuccessShare*present, t.phase == trialPhases && tried >= s.requiredShare()*present:
		s.succeed(lower, now)
	case first && tried < s.config.EarlyFailureShare*present, t.phase == trialPhases:
		s.fail(lower, now)
	default:
		t.began, t.ends, t.completed = now, now.Add(s.phaseLength(meanTook)), 0
	}
}

// requiredShare returns the share of the present limit's work per second that the tried one must
// reach.
func (s *limitSearch) requiredShare() float64 {
	if s.trial.limit < s.limit {
		return s.config.KeepShare
	}
	return s.config.GainShare
}

func (s *limitSearch) succeed(lower bool, now time.Time) {
	// The server may have been slow for another reason in the phases at the present limit only.
	if s.successes++; lower && s.limit == s.slots && s.successes < s.config.Confirmations {
		s.endTrial(now, s.config.MinPhase)
		return
	}
	s.limit, s.full, s.pause, s.unexplored = s.trial.limit, loadSpeed{}, s.config.MinPause, lower && s.trial.limit > 1
	s.successes = 0
	s.endTrial(now, s.config.MinPhase)
}

func (s *limitSearch) fail(lower bool, now time.Time) {
	if !lower {
		s.endTrial(now, s.config.RaiseInterval)
		return
	}
	s.unexplored, s.successes = false, 0
	s.endTrial(now, s.pause)
	s.pause = min(2*s.pause, s.config.MaxPause)
}

func (s *limitSearch) endTrial(now time.Time, pause time.Duration) {
	s.trial, s.nextTrial = nil, now.Add(pause)
}
