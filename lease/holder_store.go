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
		h.confirm(now, h.lastCommitAt)
		h.read() // the response does not contain the version of the row
	case OutcomeNotApplied:
		if !h.commitUncertain {
			h.abandon(now)
		} else {
			h.phase = phaseResolving
		}
		h.backOff(now)
	case OutcomeConflict:
		h.phase = phaseResolving
		h.read()
	default:
		h.commitUncertain = true
		h.phase = phaseResolving
		h.read()
	}
}

// confirm makes the new set the current one. sent must not be later than the time at
// which the applied copy of the commit was sent.
func (h *Holder) confirm(now, sent time.Time) {
	if s := h.next.storeGrant(); s != nil {
		if e := sent.Add(h.cfg.holderGrantDuration()); e.After(s.expiry) {
			s.expiry = e
		}
	}
	h.current, h.next, h.phase = h.next, nil, phaseIdle
	h.current.updateLapsed(now)
	h.versionKnown, h.commitUncertain = false, false
	h.changeAt, h.retryAt, h.backoff = time.Time{}, time.Time{}, h.cfg.RetryInterval
	if h.current.Store {
		h.renewAt = now
	}
}

// renewalCommitted handles the result of CommitRenewal. An applied renewal extends the
// store's grant only if the current set sent it, because each set knows only the
// sequence numbers of its own renewals.
func (h *Holder) renewalCommitted(now time.Time, r Committed) {
	if h.current == nil || !h.current.Store {
		return
	}
	switch r.Outcome {
	case OutcomeApplied:
		h.current.storeGrant().extend(r.Attempt, now, h.cfg.holderGrantDuration())
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
		h.rowMissing(now)
		return
	}
	row, err := DecodeSessionRow(r.Session)
	if err != nil {
		return // corrupt row: the set cannot change, so the lease ends when the set loses its quorum
	}
	switch {
	case row.State != RowActive:
		h.stop(StoppedFenced)
	case h.phase == phaseResolving && row.WitnessSet.Generation == h.next.Generation:
		h.confirm(now, h.firstCommitAt)
		h.rowVersion, h.versionKnown = r.Session.Version, true
	case h.phase == phaseResolving:
		h.commitNotSeen(now, r.Session.Version)
	case h.current != nil && row.WitnessSet.Generation == h.current.Generation:
		h.rowVersion, h.versionKnown = r.Session.Version, true
		h.retryAt = time.Time{}
	}
}

// rowMissing handles a read without a session row: it was deleted or never written.
func (h *Holder) rowMissing(now time.Time) {
	switch {
	case h.current != nil:
		h.stop(StoppedFenced)
	case h.phase == phaseResolving:
		h.commitNotSeen(now, 0)
	}
}

// commitNotSeen handles a read that does not show the new set. If the row is at the old
// version, a lost commit may still be applied later, so the commit is sent again. If
// the row is at a later version, no copy of the commit can be applied any more.
func (h *Holder) commitNotSeen(now time.Time, version uint64) {
	if version > h.rowVersion || h.mutations.unchangedMeansFailed {
		h.rowVersion = version
		h.abandon(now)
		return
	}
	h.resendCommit = true
}
