package node

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// failingStore fails all writes.
type failingStore struct {
	metastore.WatchedTable
	err error
}

func (s failingStore) Apply(context.Context, metastore.Txn) (metastore.Applied, error) {
	return metastore.Applied{}, s.err
}

// Guards against a write that counts as not applied although another node sent it for this one: the outcome of all
// tries together is unknown if that of one of them is.
func TestOutcomeOfARelayedWriteIsThatOfAllTries(t *testing.T) {
	refused, unknown := fmt.Errorf("%w: 503", metastore.ErrUnavailable), fmt.Errorf("%w: no answer", metastore.ErrUnknown)
	answer := func(failure relayFailure) func() ([]byte, error) {
		return func() ([]byte, error) { return cbor.Marshal(relayResult{Failure: failure, Message: "m"}) }
	}
	lost := func(stage httpclient.Stage) func() ([]byte, error) {
		return func() ([]byte, error) { return nil, &httpclient.Error{Stage: stage, Err: errLost} }
	}
	undecodable := func() ([]byte, error) { return []byte("x"), nil }
	for name, c := range map[string]struct {
		own                           error
		answers                       []func() ([]byte, error)
		fails, unavailable, uncertain bool
	}{
		"all refuse":                         {refused, []func() ([]byte, error){answer(relayUnavailable), lost(httpclient.NotSent)}, true, true, false},
		"no answer of a node":                {refused, []func() ([]byte, error){lost(httpclient.Sent), answer(relayUnavailable)}, true, false, true},
		"no answer of the store to a node":   {refused, []func() ([]byte, error){answer(relayUnknown), answer(relayUnavailable)}, true, false, true},
		"answer of a node that is no answer": {refused, []func() ([]byte, error){undecodable, answer(relayUnavailable)}, true, false, true},
		"no answer of the store":             {unknown, []func() ([]byte, error){answer(relayUnavailable), answer(relayUnavailable)}, true, false, true},
		"made by a node":                     {refused, []func() ([]byte, error){answer(relayOK)}, false, false, false},
		"conflict":                           {refused, []func() ([]byte, error){answer(relayConflict)}, true, false, false},
		"conflict after no answer":           {unknown, []func() ([]byte, error){answer(relayConflict)}, true, false, true},
		"conflict after a node's no answer":  {refused, []func() ([]byte, error){lost(httpclient.Sent), answer(relayConflict)}, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := New(Config{Instance: "self", Protocol: simProtocol{}, Store: failingStore{err: c.own}}, zap.NewNop())
			for _, instance := range []string{"a", "b"} {
				value, err := cbor.Marshal(Member{Owner: keyrange.Owner{Instance: instance, Incarnation: instance + "@1"}, Address: instance + ":1", State: BackendReady, Service: "booking"})
				g.Expect(err).NotTo(HaveOccurred())
				n.views.apply(metastore.Row{Key: memberKey(instance), Value: value, Version: 1})
			}
			answers := c.answers
			n.exchange = func(context.Context, string, string, []byte) ([]byte, error) {
				next := answers[0]
				answers = answers[1:]
				return next()
			}
			_, err := n.store.Apply(t.Context(), metastore.Txn{Writes: []metastore.Write{{Key: "cluster/x", Value: []byte("v")}}})
			g.Expect(err != nil).To(Equal(c.fails))
			g.Expect(errors.Is(err, metastore.ErrUnavailable) && !errors.Is(err, metastore.ErrUnknown)).To(Equal(c.unavailable), "%v", err)
			g.Expect(errors.Is(err, metastore.ErrUnknown)).To(Equal(c.uncertain), "%v", err)
			g.Expect(answers).To(BeEmpty())
		})
	}
}
