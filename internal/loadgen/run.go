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

// Run sends requests until c.Duration has passed or ctx ends.
func Run(ctx context.Context, c Config) (Result, error) {
	if err := c.Validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: c.Workers, MaxIdleConns: 0}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	limit := rate.NewLimiter(rate.Inf, 0)
	if c.RatePerSecond > 0 {
		limit = rate.NewLimiter(rate.Limit(c.RatePerSecond), max(1, int(c.RatePerSecond/100)))
	}
	start := time.Now()
	recorders := make([]*recorder, c.Workers)
	var group sync.WaitGroup
	for i := range recorders {
		recorders[i] = newRecorder()
		w := &worker{
			config: c, send: newSender(c, client, i), limit: limit, start: start,
			rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), recorder: recorders[i],
		}
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
	return summarize(recorders, time.Since(start)), nil
}

// sender sends one request and returns who served it and whether it was forwarded.
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
		reply, err := daemon.Call(ctx, connect.NewRequest(&basilwayv1.CallRequest{
			Service: c.Service, Key: key, Method: c.Method, Team: c.Team, RequestId: id, Payload: payload,
			Idempotent: c.Idempotent, FirstCall: true,
		}))
		if err != nil {
			return "", false, err
		}
		return reply.Msg.ServedBy, reply.Msg.Forwarded, nil
	}
}

type worker struct {
	config   Config
	send     sender
	limit    *rate.Limiter
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
		if w.limit.Wait(ctx) != nil {
			return
		}
		w.one(payload)
	}
}

// one sends a request. It does not end with the run, so that a request in flight at
// the end is not counted as failed.
func (w *worker) one(payload []byte) {
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
		w.recorder.failed[failure(err)]++
		return
	}
	w.recorder.answered(end.Sub(w.start), end.Sub(begin), servedBy, forwarded)
}

// failure returns "reason/verdict" of an error.
func failure(err error) string {
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
	var answers []time.Duration
	for _, rec := range recorders {
		r.Sent += rec.sent
		r.Forwarded += rec.forwarded
		latency.Merge(rec.latency)
		answers = append(answers, rec.answers...)
		for k, n := range rec.failed {
			r.Failed[k] += n
		}
		for k, n := range rec.servedBy {
			r.ServedBy[k] += n
		}
	}
	r.Answered = uint64(len(answers))
	r.PerSecond = float64(r.Answered) / elapsed.Seconds()
	r.P50Micros, r.P99Micros, r.MaxMicros = latency.ValueAtQuantile(50), latency.ValueAtQuantile(99), latency.Max()
	r.LongestGapMillis = longestGap(answers).Milliseconds()
	return r
}

func longestGap(answers []time.Duration) time.Duration {
	slices.Sort(answers)
	var gap, last time.Duration
	for _, at := range answers {
		gap = max(gap, at-last)
		last = at
	}
	return gap
}
