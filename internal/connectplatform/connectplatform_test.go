package connectplatform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

func start(t *testing.T) *connectplatform.Client {
	t.Helper()
	server := httptest.NewServer(connectplatform.NewHandler(memory.New(memory.Rates{}, 1)))
	t.Cleanup(server.Close)
	client := connectplatform.NewClient(connectplatform.Config{URL: server.URL, Timeout: 10 * time.Second})
	t.Cleanup(client.Close)
	return client
}

func put(key, value string, version uint64) metastore.Txn {
	return metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Version: version}},
		Writes:     []metastore.Write{{Key: key, Value: []byte(value)}},
	}
}

// Guards against an adapter that drops fields or maps a conflict to another error.
func TestTableAndObjects(t *testing.T) {
	g, ctx, c := NewWithT(t), context.Background(), start(t)
	row, err := c.Get(ctx, "a/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeZero())
	g.Expect(c.Commit(ctx, put("a/1", "x", 0))).To(Succeed())
	g.Expect(c.Commit(ctx, put("a/2", "y", 0))).To(Succeed())
	g.Expect(c.Commit(ctx, put("a/1", "z", 0))).To(MatchError(metastore.ErrConflict))
	rows, err := c.Scan(ctx, "a/", "a/1", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(1))
	g.Expect(string(rows[0].Value)).To(Equal("y"))

	_, err = c.Objects().Get(ctx, "o")
	g.Expect(err).To(MatchError(metastore.ErrNotFound))
	g.Expect(c.Objects().Put(ctx, "o", []byte("data"))).To(Succeed())
	g.Expect(c.Objects().List(ctx, "")).To(Equal([]string{"o"}))
	g.Expect(c.Objects().Get(ctx, "o")).To(Equal([]byte("data")))
}

// Guards against a lost response that is reported as a definite failure, and against a
// refused write that is reported as ErrUnknown.
func TestOutcomeOfFaults(t *testing.T) {
	g, ctx, c := NewWithT(t), context.Background(), start(t)
	g.Expect(c.SetFaults(ctx, memory.Faults{LostResponses: 1})).To(Succeed())
	g.Expect(c.Commit(ctx, put("a", "x", 0))).To(MatchError(metastore.ErrUnknown))
	g.Expect(c.SetFaults(ctx, memory.Faults{Down: true})).To(Succeed())
	g.Expect(c.Commit(ctx, put("b", "x", 0))).To(MatchError(metastore.ErrUnavailable))
	_, err := c.Get(ctx, "a")
	g.Expect(err).To(MatchError(metastore.ErrUnavailable))
	g.Expect(c.SetFaults(ctx, memory.Faults{})).To(Succeed())
	row, err := c.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(row.Value)).To(Equal("x"))
	counts, err := c.Counts(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(counts.Writes).To(BeEquivalentTo(1))
}

// Guards against a transport error that is taken for an error of the store.
func TestOutcomeOfTransportErrors(t *testing.T) {
	ctx := context.Background()
	commit := func(url string, timeout time.Duration) error {
		c := connectplatform.NewClient(connectplatform.Config{URL: url, Timeout: timeout})
		defer c.Close()
		return c.Commit(ctx, put("a", "x", 0))
	}
	t.Run("no connection", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		url := "http://" + l.Addr().String()
		NewWithT(t).Expect(l.Close()).To(Succeed())
		NewWithT(t).Expect(commit(url, 10*time.Second)).To(MatchError(metastore.ErrUnavailable))
	})
	t.Run("no response", func(t *testing.T) {
		release := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer s.Close()
		defer close(release)
		NewWithT(t).Expect(commit(s.URL, 100*time.Millisecond)).To(MatchError(metastore.ErrUnknown))
	})
	t.Run("error of an intermediary", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer s.Close()
		NewWithT(t).Expect(commit(s.URL, 10*time.Second)).To(MatchError(metastore.ErrUnknown))
	})
}
