package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
)

// Run sends requests until c.Duration has passed or ctx ends, and returns once the requests
// in flight have ended. It returns an error if c is invalid.
func Run(ctx context.Context, c Config) (Result, error) {
	if err := c.Validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: c.Workers, MaxIdleConns: 0}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	limiter := rate.NewLimiter(rate.Inf, 0)
	if c.RatePerSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(c.RatePerSecond), max(1, int(c.RatePerSecond/100)))
	}
	start := time.Now()
	recorders := make([]*recorder, c.Workers)
	var group sync.WaitGroup
	for i := range recorders {
		recorders[i] = newRecorder()
		w := &worker{
			config: c, send: newSender(c, client, i), limiter: limiter, start: start,
			rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), recorder: recorders[i],
		}
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
	return summarize(recorders, time.Since(start)), nil
}

// sender sends one request and returns the instance that served it and whether it was
// forwarded.
type sender func(ctx context.Context, key, id string, payload []byte) (string, bool, error)

func newSender(c Config, client *http.Client, worker int) sender {
	url := c.URLs[worker%len(c.URLs)]
	if c.Direct {
		backend := backendv1connect.NewBackendServiceClient(client, url)
		return func(ctx context.Context, key, id string, payload []byte) (string, bool, error) {
			_, err := backend.Execute(ctx, connect.NewRequest(&backendv1.ExecuteRequest{
				Service: c.Service, Key: key, Method: c.Method, Team: c.Team, RequestId: id, Payload: payload,
				Idempotent: c.Idempotent,
			}))
			return url, false, err
		}
	}
	daemon := basilwayv1connect.NewRouterServiceClient(client, url)
	return func(ctx context.Context, key, id string, payload []byte) (string, bool, error) {
		resp, err := daemon.Call(ctx, connect.NewRequest(&basilwayv1.CallRequest{
			Service: c.Service, Key: key, Method: c.Method, Team: c.Team, RequestId: id, Payload: payload,
			Idempotent: c.Idempotent, FirstCall: true,
		}))
		if err != nil {
			return "", false, err
		}
		return resp.Msg.ServedBy, resp.Msg.Forwarded, nil
	}
}

type worker struct {
	config   Config
	send     sender
	limiter  *rate.Limiter
	start    time.Time
	rng      *rand.Rand
	recorder *recorder
}

func (w *worker) run(ctx context.Context) {
	payload := []byte(w.config.Payload)
	if len(payload) == 0 {
		payload = []byte(strings.Repeat("x", w.config.PayloadBytes))
	}
	for ctx.Err() == nil {
		if w.limiter.Wait(ctx) != nil {
			return
		}
		w.sendOne(payload)
	}
}

// sendOne sends a request. Its context is not that of the run, so that a request in flight
// at the end of the run does not count as failed.
func (w *worker) sendOne(payload []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), w.config.Timeout)
	defer cancel()
	key := fmt.Sprintf("%s%d", w.config.KeyPrefix, w.rng.IntN(w.config.Keys))
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	begin := time.Now()
	w.recorder.sent++
	servedBy, forwarded, err := w.send(ctx, key, id.String(), payload)
	end := time.Now()
	if err != nil {
		w.recorder.failed[failureKey(err)]++
		return
	}
	w.recorder.recordResponse(end.Sub(w.start), end.Sub(begin), servedBy, forwarded)
}

// failureKey returns the reason and verdict of an error as "reason/verdict".
func failureKey(err error) string {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return "transport/unknown"
	}
	for _, d := range ce.Details() {
		if value, err := d.Value(); err == nil {
			if detail, ok := value.(*basilwayv1.ErrorDetail); ok {
				return detail.Reason + "/" + strings.ToLower(strings.TrimPrefix(detail.Verdict.String(), "VERDICT_"))
			}
		}
	}
	return ce.Code().String() + "/unknown"
}

func summarize(recorders []*recorder, elapsed time.Duration) Result {
	r := Result{Seconds: elapsed.Seconds(), Failed: map[string]uint64{}, ServedBy: map[string]uint64{}}
	latency := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	var offsets []time.Duration
	for _, rec := range recorders {
		r.Sent += rec.sent
		r.Forwarded += rec.forwarded
		latency.Merge(rec.latency)
		offsets = append(offsets, rec.responseOffsets...)
		for k, n := range rec.failed {
			r.Failed[k] += n
		}
		for k, n := range rec.servedBy {
			r.ServedBy[k] += n
		}
	}
	r.Answered = uint64(len(offsets))
	r.PerSecond = float64(r.Answered) / elapsed.Seconds()
	r.P50Micros, r.P99Micros, r.MaxMicros = latency.ValueAtQuantile(50), latency.ValueAtQuantile(99), latency.Max()
	r.LongestGapMillis = longestGap(offsets).Milliseconds()
	return r
}

// longestGap sorts the offsets and returns the longest time between two of them, or before
// the first.
func longestGap(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	var gap, last time.Duration
	for _, at := range offsets {
		gap = max(gap, at-last)
		last = at
	}
	return gap
}
