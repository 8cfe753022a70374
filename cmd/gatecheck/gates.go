package main

var (
	nodeTests   = []string{"./internal/node"}
	grantTests  = []string{"./grant", "./internal/node"}
	clientTests = []string{"./internal/httpclient", "./internal/node"}
	daemonTests = []string{"./internal/daemon"}
)

// gates are the checks between a request and a backend server that must not run it, and
// those on the right to grant keys.
var gates = []gate{
	{
		"request to a backend server that is down", "internal/node/serve.go",
		"case b.state == BackendDown || !b.portClosedAt.IsZero():", "case false:", nodeTests,
	}, {
		"request to a backend server whose port is closed", "internal/node/serve.go",
		"case b.state == BackendDown || !b.portClosedAt.IsZero():", "case b.state == BackendDown:", nodeTests,
	}, {
		"request to a backend server that leaves", "internal/node/serve.go",
		"case !b.leaveAcked.IsZero() && now.Sub(b.leaveAcked) > b.node.config.Bounds.DrainTimeout*drainPercent/100:", "case false && now.IsZero():", nodeTests,
	}, {
		"request before the first heartbeat", "internal/node/serve.go",
		"case b.tracker == nil && b.adoptionAllows(t):", "case b.tracker == nil:", nodeTests,
	}, {
		"request for a key that is not held", "internal/node/serve.go",
		"case t.sharded && !b.tracker.Serving(t.key, now):", "case false:", nodeTests,
	}, {
		"last look before the first byte", "internal/node/serve.go",
		"if refused = b.gate(t); refused != nil {", "if refused != nil {", nodeTests,
	}, {
		"request for another incarnation", "internal/node/serve.go",
		"e.Header.Set(headers.ExpectBackend, grant.IncarnationID(owner.Incarnation))", "_ = grant.IncarnationID(owner.Incarnation)", nodeTests,
	}, {
		"request that crashed backend servers", "internal/node/serve.go",
		"case quarantine.Refuse:", "case 99:", nodeTests,
	}, {
		"request meant for another node", "internal/node/forward.go",
		"if t.instance != n.config.Instance {", "if false {", nodeTests,
	}, {
		"take-over of a backend server that leaves", "internal/node/adoption.go",
		"return resp.StatusCode == http.StatusOK && resp.Header.Get(b.node.headers.Backend) == id", "return true", nodeTests,
	}, {
		"take-over of another backend server", "internal/node/adoption.go",
		"resp.StatusCode == http.StatusOK && resp.Header.Get(b.node.headers.Backend) == id", "resp.StatusCode == http.StatusOK", nodeTests,
	}, {
		"take-over of keys that move", "internal/node/adoption.go",
		"return r.Owner == m.Owner && !r.Moving()", "return r.Owner == m.Owner", nodeTests,
	}, {
		"take-over without end", "internal/node/adoption.go",
		"m.State != BackendReady || boottimeNow().Sub(b.started) > adoptionTimeout", "m.State != BackendReady", nodeTests,
	}, {
		"repeat of a request that may have run", "internal/node/routing.go",
		"case e.Verdict != verdict.NotRun && !req.route.Kind.Repeatable():", "case false:", nodeTests,
	}, {
		"more sends than the route allows", "internal/node/routing.go",
		"case req.sends >= max(req.route.MaxAttempts, 1):", "case false:", nodeTests,
	}, {
		"repeat beyond the budget", "internal/node/routing.go",
		"|| !budget.TryRetry(time.Now())", "", nodeTests,
	}, {
		"refusal of a request that may have run", "internal/node/entry.go",
		"if out.err.Verdict == verdict.NotRun && !req.mayHaveRun {", "if true {", nodeTests,
	}, {
		"refusal after an earlier try that may have run", "internal/node/entry.go",
		"if out.err.Verdict == verdict.NotRun && !req.mayHaveRun {", "if out.err.Verdict == verdict.NotRun {", nodeTests,
	}, {
		"lost node taken for one that sent nothing", "internal/node/forward.go",
		"v, reason := verdict.MayHaveRun, verdict.ReasonPeerLost", "v, reason := verdict.NotRun, verdict.ReasonPeerLost", nodeTests,
	}, {
		"lost answer taken for a request that was not sent", "internal/node/serve.go",
		"if failure.Stage == httpclient.NotSent {", "if true {", nodeTests,
	}, {
		"answer to another request", "internal/httpclient/pool.go",
		`if e.IDHeader == "" || resp.Header.Get(e.IDHeader) == e.ID {`, "if true {", clientTests,
	}, {
		"connection with bytes left over", "internal/httpclient/pool.go",
		"if now.Sub(c.idleSince) < c.idleFor && c.clean() {", "if now.Sub(c.idleSince) < c.idleFor {", clientTests,
	}, {
		"connection that is used after the server's idle time", "internal/httpclient/pool.go",
		"if now.Sub(c.idleSince) < c.idleFor && c.clean() {", "if now.Sub(c.idleSince) >= 0 && c.clean() {", clientTests,
	}, {
		"connection whose request was not read", "internal/httpclient/pool.go",
		"|| !c.written()", "", clientTests,
	}, {
		"cut answer passed on as whole", "internal/node/entry.go",
		"if err != nil && !errors.Is(err, io.EOF) {", "if false {", nodeTests,
	}, {
		"cut stream passed on as whole", "internal/node/forward.go",
		"return err == nil\n}", "return err == nil || true\n}", nodeTests,
	}, {
		"grant beyond the lease", "grant/tracker.go",
		"hold := time.Duration(float64(leaseUntil.Sub(now)) / (1 + t.config.ClockSkew))", "hold := t.config.MaxHold", grantTests,
	}, {
		"lease of the node in grants", "internal/node/backend.go",
		"b.node.lease.validUntil(), boottimeNow())", "boottimeNow().Add(leaseDuration), boottimeNow())", nodeTests,
	}, {
		"grant of keys that move", "grant/tracker.go",
		"if r.Moving() {\n\t\t\tcontinue", "if false {\n\t\t\tcontinue", grantTests,
	}, {
		"release of keys that are held", "grant/tracker.go",
		"|| t.mayHold(r.Span)", "", grantTests,
	}, {
		"hold that ran out", "grant/tracker.go",
		"if !now.Before(t.until) {", "if false {", grantTests,
	}, {
		"heartbeat of an earlier life or out of order", "internal/node/backend.go",
		"if known && !same && hb.StartedMS <= b.last.StartedMS || same && hb.Sequence <= b.last.Sequence {", "if false {", nodeTests,
	}, {
		"end of a backend server that is at work", "internal/node/backendend.go",
		"|| len(b.running) > 0 {", "{", nodeTests,
	}, {
		"end of a backend server that holds keys", "internal/node/reconcile.go",
		"if sharded && now.After(tracker.Until()) {", "if sharded {", nodeTests,
	}, {
		"keys of an earlier life that may be held", "internal/node/reconcile.go",
		"if !b.portRefused(ctx) && now.Before(b.node.lease.earlierGrantsUntil()) {", "if false {", nodeTests,
	}, {
		"first grants after a restart", "internal/node/backend.go",
		"until := b.node.lease.earlierGrantsUntil()", "until := time.Time{}", nodeTests,
	}, {
		"lease that another node took", "internal/node/leasekeeper.go",
		"if errors.Is(err, metastore.ErrConflict) {\n\t\tk.until = time.Time{}", "if false {\n\t\tk.until = time.Time{}", nodeTests,
	}, {
		"confirmation of another renewal", "internal/node/leasekeeper.go",
		"|| k.requested.Row.Nonce != r.Nonce", "", nodeTests,
	}, {
		"row of another writer adopted", "internal/node/leasekeeper.go",
		"own := version != 0 && (version == k.version || slices.Contains(k.pendingNonces, nonce))", "own := version != 0 && (true || slices.Contains(k.pendingNonces, nonce))", nodeTests,
	}, {
		"keys taken from a live node", "internal/node/planner.go",
		"Conditions: []metastore.Condition{{Key: leaseKey(lost.Holder), Version: lost.Version}},", "", nodeTests,
	}, {
		"lease that is not old enough", "membership/expiry/tracker.go",
		"age >= t.config.After", "age >= 0", []string{"./membership/expiry"},
	}, {
		"leases after an outage of the store", "membership/expiry/tracker.go",
		"if !t.started || t.lastSample-t.reachableSince < t.config.Reachable {", "if !t.started {", []string{"./membership/expiry"},
	}, {
		"key table that changed meanwhile", "internal/node/keywriter.go",
		"txn.Conditions = append(txn.Conditions, metastore.Condition{Key: key, Version: space.Versions[bucket]})", "", nodeTests,
	}, {
		"desired state that goes back", "internal/node/viewstore.go",
		"if v.Routes != nil && table.Version < v.Routes.Version {", "if false {", nodeTests,
	}, {
		"send after the lease ran out, in the connect daemon", "internal/daemon/leaseclock.go",
		"func (c *leaseClock) valid(now time.Time) bool { return c.remaining(now) > 0 }", "func (c *leaseClock) valid(time.Time) bool { return true }", daemonTests,
	},
}
