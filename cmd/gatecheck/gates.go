package main

var (
	nodeTests    = []string{"./internal/node"}
	grantTests   = []string{"./grant", "./internal/node"}
	clientTests  = []string{"./internal/httpclient", "./internal/node"}
	attemptTests = []string{"./attempt", "./internal/node"}
	aheadTests   = []string{"./pipeline", "./internal/readahead"}
	eraTests     = []string{"./platform"}
	coldTests    = []string{"./coldstate"}
	limitTests   = []string{"./waitqueue", "./internal/node"}
	statusTests  = []string{"./backendstatus", "./internal/node"}
	daemonTests  = []string{"./internal/daemon"}
	budgetTests  = []string{"./memorybudget"}
	inputTests   = []string{"./internal/inputlimit"}
)

// gates are the checks between a request and a backend server that must not run it, and
// those on the right to grant keys.
var gates = []gate{
	{
		"request that is not idempotent run beside others", "pipeline/conn.go",
		"if r.mode == Alone && i > 0 || busy >= c.config.MaxRunning {", "if busy >= c.config.MaxRunning {", aheadTests,
	}, {
		"request run behind one that is not idempotent", "pipeline/conn.go",
		"|| r.mode == Alone && r.state == running {", "{", aheadTests,
	}, {
		"request run behind one whose headers are not checked", "pipeline/conn.go",
		"return out // whether", "continue // whether", aheadTests,
	}, {
		"connection closed before a later running request is answered", "pipeline/conn.go",
		"if later.state == running || later.state == answered {", "if later.size < 0 {", aheadTests,
	}, {
		"request run after the connection was told to close", "pipeline/conn.go",
		"return c.advance(c.dropBehind(last))", "return c.advance(c.dropBehind(last + len(c.requests)))", aheadTests,
	}, {
		"request running for a client that left", "internal/readahead/conn.go",
		"c.apply(func() []pipeline.Action { return c.state.Abort() })", "", aheadTests,
	}, {
		"request running for a client that left behind unread bytes", "internal/readahead/conn.go",
		"if hangup.HasClosed(c.raw) {", "if hangup.HasClosed(c.raw) && c.raw == nil {", aheadTests,
	}, {
		"request sent where only an older desired state sends it", "internal/node/serve.go",
		"if err := b.node.routesGate(t); err != nil {", "if err := b.node.routesGate(t); err != nil && t.version == 0 {", nodeTests,
	}, {
		"request handled by a desired state that is known to be outdated", "internal/node/routeversion.go",
		"judged == freshness.Current || judged == freshness.Tolerated && ok {", "judged != freshness.Tolerated || ok {", nodeTests,
	}, {
		"request sent to a backend server after its caller left", "internal/node/serve.go",
		"if hangup.CallerLeft(ctx, t.arrived) {", "if hangup.CallerLeft(ctx, t.arrived) && ctx == nil {", nodeTests,
	}, {
		"request of an ended context sent", "internal/httpclient/pool.go",
		"if err := context.Cause(ctx); err != nil {", "if err := context.Cause(context.Background()); err != nil {", clientTests,
	}, {
		"request taken that a stopping node does not see to its end", "internal/node/stopgate.go",
		"if period == nil {", "if period != nil || period == nil {", nodeTests,
	}, {
		"connection closed to free memory while a request of it runs", "memorybudget/holder.go",
		"case h.activity == Receiving:", "case h.activity != Sending:", budgetTests,
	}, {
		"memory of all connections without a bound", "memorybudget/budget.go",
		"return b.limit(b.config.LargePercent)", "return 100 * b.config.Total", budgetTests,
	}, {
		"reserved memory granted to connections that hold much", "internal/inputlimit/holder.go",
		"case small && h.reserved &&", "case (small || h.reserved) &&", inputTests,
	}, {
		"refused call that awaits the rest of its body", "internal/inputlimit/body.go",
		"if b.failed == nil {", "if b.failed == nil || b.http1 {", inputTests,
	}, {
		"call that stops in the middle kept for good", "internal/inputlimit/body.go",
		"_ = http.NewResponseController(b.w).SetReadDeadline(at)", "_ = at", inputTests,
	}, {
		"request run although there is no room for it", "internal/readahead/handler.go",
		"if st.refused {", "if st == nil {", aheadTests,
	}, {
		"requests read ahead without a bound", "pipeline/conn.go",
		"len(c.requests) < c.config.MaxRequests &&", "", aheadTests,
	}, {
		"request beyond the bound before a backend server says that it is cold", "coldstate/tracker.go",
		"case t.answers == stating && t.sent.full(now):", "case false:", coldTests,
	}, {
		"late heartbeat that ends a cold state", "coldstate/tracker.go",
		"case now.Before(t.coldUntil) || now.Before(t.answeredUntil):", "case now.Before(t.coldUntil):", coldTests,
	}, {
		"request sent beyond the limit that its backend server named", "waitqueue/queue.go",
		"if !q.rate.admits(w.priorityClass(), ahead, kept, now) {", "if ahead < 0 && len(kept) == 0 {", limitTests,
	}, {
		"request sent to a backend server whose stated leave was passed on", "internal/node/forward.go",
		"if !leaving || known <= n.config.Bounds.leaveGrace() {", "if !leaving || known >= 0 {", nodeTests,
	}, {
		"keys granted that were not recorded since the store went back", "internal/node/backend.go",
		"(withheld || !authority.owns(table.Space, r))", "(withheld || authority.settled && r.Fence == 0)", nodeTests,
	}, {
		"leave forgotten that an earlier process recorded", "internal/node/backendleave.go",
		"if !m.Leaving && m.State != BackendDraining || m.Owner != b.tracker.Owner() {", "if b.tracker != nil {", nodeTests,
	}, {
		"leave acknowledged before it is recorded", "internal/node/backend.go",
		"b.markLeaving(hb.ID)\n\t\tb.awaitLeaveRecorded(r.Context(), hb.ID)", "b.markLeaving(hb.ID)", nodeTests,
	}, {
		"keys granted while a drop of them may take effect", "internal/node/keydrops.go",
		"_, ok := d.pending[owner]\n\treturn ok", "return false", nodeTests,
	}, {
		"keys dropped by the state that a backend server had before", "internal/node/keyedit.go",
		"next, changed := change(t, b.beginKeyEdit(t))", "next, changed := change(t, m)", nodeTests,
	}, {
		"keys taken while a lost owner may hold them", "internal/node/keyauthority.go",
		"if !a.owns(space, r) {", "if r.Fence == 0 {", nodeTests,
	}, {
		"lease extended before the keys are recorded again", "internal/node/leasekeeper.go",
		"return k.restored == nil || k.restored(version)", "return true || k.restored(version)", nodeTests,
	}, {
		"lease extended although the keys stayed unrecorded", "internal/node/restore.go",
		"if !n.generation.isVouching() {", "if n.generation.settled() || !n.generation.isVouching() {", nodeTests,
	}, {
		"keys given away because an earlier owner is gone", "keyrange/table.go",
		"Owner: r.Next, Confirmed: r.Confirmed}", "Owner: r.Next, Confirmed: true}", []string{"./keyrange"},
	}, {
		"successor at an address fenced for its predecessor", "internal/node/plannerfence.go",
		"older.acquired > h.acquired", "older.version > h.version", nodeTests,
	}, {
		"acquisition of a lease counted in a later generation", "internal/node/leaserow.go",
		"return metastore.VersionOf(metastore.Generation(r.Acquired), metastore.Sequence(version))", "return version", nodeTests,
	}, {
		"range recorded that its owner did not vouch for", "internal/node/vouchedrange.go",
		" || !v.matches(r)", "", nodeTests,
	}, {
		"range recorded that its owner vouched for in an earlier generation", "internal/node/vouchedrange.go",
		" || v.generation != generation", "", nodeTests,
	}, {
		"place of a refused request taken by a new one", "waitqueue/ratelimit.go",
		"left, taken = left-(1-r.turns.missed), taken+1-r.turns.missed", "", limitTests,
	}, {
		"condition on a version of an earlier generation", "platform/store.go",
		"if c.Version != 0 && metastore.Generation(c.Version) != basis {", "if c.Version != 0 && basis > 1<<20 {", eraTests,
	}, {
		"fencing token of an earlier generation issued again", "keyrange/generation.go",
		"out.NextFence = max(out.NextFence, generation<<firstFenceShift)", "", []string{"./keyrange"},
	}, {
		"older key table shown after the store went back", "internal/node/remembered.go",
		"case content >= m.content:", "case true:", nodeTests,
	}, {
		"limit of a backend server not known after a restart of its node", "internal/node/statuses.go",
		"if n.backend.owner().Incarnation == incarnation && n.statuses.hint(incarnation, limit) {", "if n.backend.owner().Incarnation == \"\" {", nodeTests,
	}, {
		"request to a cold backend server after its place in the limit", "internal/node/serve.go",
		"if refused = s.sending(); refused != nil {", "if refused != nil {", nodeTests,
	}, {
		"cold backend server sent a full window beside that of an earlier process", "waitqueue/coldwindow.go",
		"w.sent = slices.Repeat([]sentRequest{{at: w.uncountedAt}}, most)", "w.sent = slices.Repeat([]sentRequest{{at: w.uncountedAt}}, 0)", limitTests,
	}, {
		"request to a backend server before it is known what a cold one may get", "internal/node/serve.go",
		"case b.node.config.Bounds.ColdOverage > 0 && b.node.views.current().Routes == nil:", "case false:", nodeTests,
	}, {
		"limit ended by a response that was overtaken", "backendstatus/table.go",
		"case s.report.Limited && !sentAt.Before(s.limitNamedAt):", "case s.report.Limited:", statusTests,
	}, {
		"request sent to a backend server that is down", "internal/node/serve.go",
		"case b.state == BackendDown || !b.portClosedAt.IsZero():", "case false:", nodeTests,
	}, {
		"request sent to a backend server whose port is closed", "internal/node/serve.go",
		"case b.state == BackendDown || !b.portClosedAt.IsZero():", "case b.state == BackendDown:", nodeTests,
	}, {
		"request sent to a leaving backend server late in its drain timeout", "internal/node/serve.go",
		"case !b.leaveAcked.IsZero() && now.Sub(b.leaveAcked) > b.node.config.Bounds.leaveGrace():", "case false && now.IsZero():", nodeTests,
	}, {
		"request sent before the first heartbeat, without adoption", "internal/node/serve.go",
		"case b.tracker == nil && b.adoptionAllows(t):", "case b.tracker == nil:", nodeTests,
	}, {
		"request sent for a key that is not granted", "internal/node/serve.go",
		"case t.sharded && !b.tracker.Serving(t.key, now):", "case false:", nodeTests,
	}, {
		"request sent although its backend server became unavailable while it waited", "internal/node/serve.go",
		"if refused = b.gate(t); refused != nil {", "if refused != nil {", nodeTests,
	}, {
		"request run by an incarnation that it is not meant for", "internal/node/serve.go",
		"e.Header.Set(headers.ExpectBackend, grant.IncarnationID(owner.Incarnation))", "_ = grant.IncarnationID(owner.Incarnation)", nodeTests,
	}, {
		"request sent again after it crashed backend servers", "internal/node/serve.go",
		"case quarantine.Refuse:", "case 99:", nodeTests,
	}, {
		"request for another node run on this one", "internal/node/forward.go",
		"if t.instance != n.config.Instance {", "if false {", nodeTests,
	}, {
		"leaving backend server adopted", "internal/node/adoption.go",
		"return resp.StatusCode == http.StatusOK", "return true", nodeTests,
	}, {
		"backend server adopted that is not the recorded one", "internal/node/adoption.go",
		"if resp.Header.Get(b.node.headers.Backend) != grant.IncarnationID(incarnation) {", "if false {", nodeTests,
	}, {
		"request sent for a moving key during an adoption", "internal/node/adoption.go",
		"return r.Owner == m.Owner && !r.Moving()", "return r.Owner == m.Owner", nodeTests,
	}, {
		"adoption that never times out", "internal/node/adoption.go",
		"m.State != BackendReady || b.node.now().Sub(b.started) > adoptionTimeout", "m.State != BackendReady", nodeTests,
	}, {
		"request retried that may have run and must not run twice", "attempt/attempt.go",
		"case r.Err.Verdict != verdict.NotRun && !s.request.Repeatable, ", "case ", attemptTests,
	}, {
		"request sent again whose body can be sent only once", "attempt/attempt.go",
		"case s.request.Streamed && (r.Sent || r.Arrived):", "case s.request.Streamed && r.Arrived:", attemptTests,
	}, {
		"request sent more often than its route allows", "attempt/attempt.go",
		"!s.request.Repeatable, s.Sends >= max(s.request.MaxSends, 1):", "!s.request.Repeatable:", attemptTests,
	}, {
		"request retried beyond the retry budget", "internal/node/routing.go",
		"if budget.TryRetry(time.Now()) {", "if true {", nodeTests,
	}, {
		"503 for a request that may have run", "internal/node/entry.go",
		"if out.err.Verdict == verdict.NotRun && !req.attempts.MayHaveRun {", "if true {", nodeTests,
	}, {
		"503 for a request with an earlier try that may have run", "internal/node/entry.go",
		"if out.err.Verdict == verdict.NotRun && !req.attempts.MayHaveRun {", "if out.err.Verdict == verdict.NotRun {", nodeTests,
	}, {
		"request reported as not run after its node was lost", "internal/node/forward.go",
		"v, reason := verdict.MayHaveRun, verdict.ReasonPeerLost", "v, reason := verdict.NotRun, verdict.ReasonPeerLost", nodeTests,
	}, {
		"request reported as not run after its response was lost", "internal/node/serve.go",
		"if failure.Stage == httpclient.NotSent {", "if true {", nodeTests,
	}, {
		"response to another request passed on", "internal/httpclient/pool.go",
		`if e.IDHeader == "" || resp.Header.Get(e.IDHeader) == e.ID {`, "if true {", clientTests,
	}, {
		"connection reused with unread bytes", "internal/httpclient/pool.go",
		"&& c.clean() {", "{", clientTests,
	}, {
		"connection reused after the server's idle timeout", "internal/httpclient/pool.go",
		"if now.Sub(c.idleSince) < c.idleFor && ", "if now.Sub(c.idleSince) >= 0 && ", clientTests,
	}, {
		"request sent again on the connection of its first send", "internal/httpclient/sentids.go",
		"!slices.Contains(s, maphash.String(idSeed, id))", "!slices.Contains(s, 0)", clientTests,
	}, {
		"head of a response read without bound", "internal/httpclient/conn.go",
		"c.limit.N = maxResponseHeadBytes", "c.limit.N = math.MaxInt64", clientTests,
	}, {
		"answer taken as complete whose connection was reset", "internal/httpclient/reset.go",
		"if endsWithConnection(resp) && c.wasReset() {", "if endsWithConnection(resp) && false {", clientTests,
	}, {
		"answer passed on with a bad name of a field", "internal/httpclient/conn.go",
		"if err := checkNames(resp.Header); err != nil {", "if err := checkNames(nil); err != nil {", clientTests,
	}, {
		"answer passed on with a bad name of a trailer", "internal/httpclient/reset.go",
		"if err := checkNames(resp.Trailer); err != nil {", "if err := checkNames(nil); err != nil {", clientTests,
	}, {
		"drain time that starts again at the next process", "internal/node/backendleave.go",
		"b.leaveAcked = b.leaveAcked.Add(-b.node.config.Bounds.DrainTimeout)", "_ = b.node", nodeTests,
	}, {
		"request sent before it is known whether its backend server leaves", "internal/node/serve.go",
		"case !b.recordKnown():", "case false:", nodeTests,
	}, {
		"write that may have been relayed taken as not applied", "internal/node/relay.go",
		"return applied, outcomeOfTries(made.uncertain, err)", "return applied, err", nodeTests,
	}, {
		"keys dropped by a process that has ended", "internal/node/keyedit.go",
		"return next, metastore.Txn{Conditions: []metastore.Condition{condition}}, err", "_ = condition\n\t\t\treturn next, metastore.Txn{}, err", nodeTests,
	}, {
		"keys of an earlier backend server dropped by a process that has ended", "internal/node/earlierbackend.go",
		"return t.Drop(owner), metastore.Txn{Conditions: []metastore.Condition{condition}}, err", "_ = condition\n\t\t\t\treturn t.Drop(owner), metastore.Txn{}, err", nodeTests,
	}, {
		"completed move recorded that the planner's table does not show", "internal/node/moverecorder.go",
		"r.Owner != m.Owner || r.Fence != move.Fence || !r.Moving() || !t.SettledIn(generation, move.From) {\n\t\t\treturn nil, false", "r.Owner != m.Owner || r.Fence != move.Fence || !r.Moving() {\n\t\t\tcontinue", nodeTests,
	}, {
		"connection reused before its request was fully written", "internal/httpclient/pool.go",
		"|| !c.written()", "", clientTests,
	}, {
		"truncated response passed on as complete", "internal/node/responsebuffers.go",
		"if err != nil && !errors.Is(err, io.EOF) {", "if false {", nodeTests,
	}, {
		"truncated stream passed on as complete", "internal/node/forward.go",
		"return err == nil\n}", "return err == nil || true\n}", nodeTests,
	}, {
		"grant that outlasts the lease", "grant/tracker.go",
		"hold := time.Duration(float64(leaseUntil.Sub(now)) / (1 + t.config.ClockSkew))", "hold := t.config.MaxHold", grantTests,
	}, {
		"keys granted by a node without a lease", "internal/node/backend.go",
		"b.node.lease.validUntil(), b.node.now())", "b.node.now().Add(leaseDuration), b.node.now())", nodeTests,
	}, {
		"moving keys granted to their old owner", "grant/tracker.go",
		"if r.Moving() {\n\t\t\tcontinue", "if false {\n\t\t\tcontinue", grantTests,
	}, {
		"keys moved away while they may be held", "grant/tracker.go",
		"|| t.mayHold(r.Span)", "", grantTests,
	}, {
		"keys moved away that an earlier process may have granted", "grant/tracker.go",
		"|| t.mayHoldFromEarlier(r, now)", "", grantTests,
	}, {
		"key treated as granted after its hold expired", "grant/tracker.go",
		"if !now.Before(t.until) {", "if false {", grantTests,
	}, {
		"heartbeat accepted from an earlier incarnation or out of order", "grant/succession.go",
		"return hb.Sequence > last.Sequence, false", "return true, false", grantTests,
	}, {
		"late heartbeat of an earlier backend server used", "grant/succession.go",
		"return !slices.Contains(s.retired, hb.ID)", "return slices.Contains(s.retired, \"\") || hb.ID != \"\"", grantTests,
	}, {
		"backend server marked as down while it runs requests", "internal/node/backenddown.go",
		"|| len(b.running) > 0 {", "{", nodeTests,
	}, {
		"backend server marked as down while it may hold keys", "internal/node/reconcile.go",
		"if sharded && now.After(tracker.Until()) {", "if sharded {", nodeTests,
	}, {
		"keys of an earlier incarnation dropped while it may hold them", "internal/node/earlierbackend.go",
		"|| !b.portRefused(ctx) && now.Before(b.node.lease.earlierGrantsUntil()) {", "{", nodeTests,
	}, {
		"earlier grants forgotten after a restart", "internal/node/backend.go",
		"until := b.node.lease.earlierGrantsUntil()", "until := time.Time{}", nodeTests,
	}, {
		"lease kept after another process took it over", "internal/node/leasekeeper.go",
		"if errors.Is(err, metastore.ErrConflict) {\n\t\tk.until = time.Time{}", "if false {\n\t\tk.until = time.Time{}", nodeTests,
	}, {
		"lease extended by the confirmation of another renewal", "internal/node/leasekeeper.go",
		"return other.nonce == r.Nonce", "return true", nodeTests,
	}, {
		"lease row of another process taken for the node's own", "internal/node/leasekeeper.go",
		"own := version != 0 && (version == k.version || slices.Contains(k.pendingNonces, nonce))", "own := version != 0 && (true || slices.Contains(k.pendingNonces, nonce))", nodeTests,
	}, {
		"keys taken from a node that renewed its lease", "internal/node/plannerfence.go",
		"Conditions: []metastore.Condition{{Key: leaseKey(lost.Holder), Version: lost.Version}},", "", nodeTests,
	}, {
		"lease treated as expired too early", "membership/expiry/tracker.go",
		"age >= t.config.ExpireAfter", "age >= 0", []string{"./membership/expiry"},
	}, {
		"lease treated as expired right after an outage of the store", "membership/expiry/tracker.go",
		"if !t.started || t.lastSample-t.reachableSince < t.config.Reachable {", "if !t.started {", []string{"./membership/expiry"},
	}, {
		"concurrent change of the key table overwritten", "internal/node/keywriter.go",
		"txn.Conditions = append(txn.Conditions, metastore.Condition{Key: key, Version: space.Versions[bucket]})", "", nodeTests,
	}, {
		"desired state replaced by an older version", "internal/node/desiredstate.go",
		"if v.Routes != nil && table.Version < v.Routes.Version {", "if false {", nodeTests,
	}, {
		"desired state of before an overdue answer of the store", "internal/node/tablewatcher.go",
		"time.AfterFunc(wait+watchAnswerMargin, ", "time.AfterFunc(time.Hour, ", nodeTests,
	}, {
		"watch resumed after versions that the store gave out again", "internal/node/tablewatcher.go",
		"cancel(metastore.ErrHistoryLost)", "_ = cancel", nodeTests,
	}, {
		"new desired state not offered to other nodes", "internal/node/node.go",
		"n.desired.notify()", "", nodeTests,
	}, {
		"large desired state sent whole", "internal/node/desiredsource.go",
		"return len(row.Value) > maxWholeRow", "return false", nodeTests,
	}, {
		"newer desired state known and nobody asked for it", "internal/node/desiredfetch.go",
		"newest := f.tracker.Heard(version, address, time.Now())", "newest := false", nodeTests,
	}, {
		"newer desired state that no node delivers not read from the store", "internal/node/desiredwatch.go",
		"|| n.fetcher.needsStore() {", "{", nodeTests,
	}, {
		"request sent by the connect daemon after its lease expired", "internal/daemon/leaseclock.go",
		"func (c *leaseClock) valid(now time.Time) bool { return c.remaining(now) > 0 }", "func (c *leaseClock) valid(time.Time) bool { return true }", daemonTests,
	},
}
