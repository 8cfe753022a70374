package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// lostTime is how long answers are lost.
	lostTime = 3900 * time.Millisecond
	// fileRequest has one path segment below /files/: a name with a slash, which is sent as %2F.
	fileRequest = "/files/shared%2Freport"
	// plainRequest is on the same route.
	plainRequest = "/files/report"
)

// encodedCase: endpoints lose answers of requests that they ran. The route of /files/ is not idempotent, that of
// /files/shared/ is. A path with %2F begins with the prefix of the first one only.
func encodedCase(l *lab, trouble bool) (broken bool, err error) {
	s, err := startStore(l.ip(100) + fmt.Sprintf(":%d", storePort))
	if err != nil {
		return false, err
	}
	routes := []route{
		{"files", "/files/", "non_idempotent", "sesshon", 1000},
		{"shared-files", "/files/shared/", "idempotent", "sesshon", 1000},
	}
	if err := s.writeDesired(1, routes, []service{{name: "sesshon"}}); err != nil {
		return false, err
	}
	endpoints, err := l.startAll(s, []string{"sesshon", "sesshon", "sesshon"}, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	const interval, deadline = 40 * time.Millisecond, time.Second
	encoded := startTraffic(l.machines, "POST", fileRequest, interval, deadline)
	plain := startTraffic(l.machines, "POST", plainRequest, interval, deadline)
	time.Sleep(2 * time.Second)
	if trouble {
		l.record.note("one of three endpoints loses two of five answers for %v", lostTime)
		endpoints[0].lose(true)
	}
	time.Sleep(lostTime)
	endpoints[0].lose(false)
	time.Sleep(time.Second)
	runs := map[string]int{}
	tries, plainTries := encoded.end(), plain.end()
	for _, e := range endpoints {
		for _, a := range e.ran() {
			runs[a.request]++
		}
	}
	twice, plainTwice := l.countTwice(tries, runs), l.countTwice(plainTries, runs)
	l.record.note("%s: %d requests, %d ran more than once; %s: %d requests, %d ran more than once",
		fileRequest, len(tries), twice, plainRequest, len(plainTries), plainTwice)
	if len(runs) == 0 {
		return false, errors.New("no request ran")
	}
	return twice+plainTwice > 0, nil
}

// countTwice returns how many of the requests, which are not idempotent, ran more than once.
func (l *lab) countTwice(tries map[string]try, runs map[string]int) int {
	n := 0
	for id, t := range tries {
		if runs[id] > 1 {
			n++
			l.record.write("BROKEN: %s ran %d times; its client got %d", id, runs[id], t.status)
		}
	}
	return n
}
