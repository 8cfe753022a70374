package lease

import "time"

// committed handles the result of CommitRow or CommitRenewal.
func (h *Holder) committed(now time.Time, r Committed) {
	if h.phase == phaseCommitting && r.Attempt == h.commitAttempt {
		h.rowCommitted(now, r.Outcome)
		return
	}
	h.renewalCommitted(now, r)
}

func (h *Holder) rowCommitted(now time.Time, o Outcome) {
	switch o {
	case OutcomeApplied:
		h.confirm(now, h.lastCommit)
		h.read() // the version of the row is not part of the answer
	case OutcomeNotApplied:
		if !h.commitOpen {
			h.abandon(now)
		} else {
			h.phase = phaseResolving
		}
		h.backOff(now)
	case OutcomeConflict:
		h.phase = phaseResolving
		h.read()
	default:
		h.commitOpen = true
		h.phase = phaseResolving
		h.read()
	}
}

// confirm makes the new set the current one. sent is a time not after the sending of
// the copy that was applied.
func (h *Holder) confirm(now, sent time.Time) {
	if s := h.next.store(); s != nil {
		if e := sent.Add(h.cfg.holderGrant()); e.After(s.expiry) {
			s.expiry = e
		}
	}
	h.current, h.next, h.phase = h.next, nil, phaseIdle
	h.current.observe(now)
	h.versionKnown, h.commitOpen = false, false
	h.changeAt, h.retryAt, h.backoff = time.Time{}, time.Time{}, h.cfg.RetryInterval
	if h.current.Store {
		h.renewAt = now
	}
}

// renewalCommitted counts a renewal that was applied. It was conditional on the row
// of the current set, because each set has its own sequences.
func (h *Holder) renewalCommitted(now time.Time, r Committed) {
	if h.current == nil || !h.current.Store {
		return
	}
	switch r.Outcome {
	case OutcomeApplied:
		h.current.store().extend(r.Attempt, now, h.cfg.holderGrant())
	case OutcomeConflict:
		if h.phase == phaseIdle && h.versionKnown {
			h.versionKnown = false
			h.read()
		}
	}
}

func (h *Holder) rowRead(now time.Time, r RowRead) {
	if h.readAttempt == 0 || r.Attempt != h.readAttempt {
		return
	}
	h.readAttempt = 0
	if r.Outcome != OutcomeApplied {
		h.backOff(now)
		return
	}
	h.backoff = h.cfg.RetryInterval
	h.retryAt = now.Add(h.cfg.RetryInterval)
	if r.Session.Version == 0 {
		h.absent(now)
		return
	}
	row, err := DecodeSessionRow(r.Session)
	if err != nil {
		return // a corrupt row cannot be judged; the lease ends without a change
	}
	switch {
	case row.State != RowActive:
		h.stop(StoppedFenced)
	case h.phase == phaseResolving && row.Set.Generation == h.next.Generation:
		h.confirm(now, h.firstCommit)
		h.rowVersion, h.versionKnown = r.Session.Version, true
	case h.phase == phaseResolving:
		h.unresolved(now, r.Session.Version)
	case h.current != nil && row.Set.Generation == h.current.Generation:
		h.rowVersion, h.versionKnown = r.Session.Version, true
		h.retryAt = time.Time{}
	}
}

// absent handles that the row does not exist: it was deleted, or it was never written.
func (h *Holder) absent(now time.Time) {
	switch {
	case h.current != nil:
		h.stop(StoppedFenced)
	case h.phase == phaseResolving:
		h.unresolved(now, 0)
	}
}

// unresolved handles a read that does not show the new set. At the old version, a
// lost commit may still be applied later, so this proves nothing and the commit is
// sent again. At a later version the condition of all copies has failed for good.
func (h *Holder) unresolved(now time.Time, version uint64) {
	if version > h.rowVersion || h.breaks.readIsFailure {
		h.rowVersion = version
		h.abandon(now)
		return
	}
	h.resend = true
}
