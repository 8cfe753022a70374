package node

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/chunks"
	"github.com/basilway/basilway/metastore/memory"
)

// Guards against responses of a faulty node that take more memory than a message may, or that are taken for
// chunks though they are not whole.
func TestBadChunksOfAnotherNodeAreRefused(t *testing.T) {
	g := NewWithT(t)
	source := newDesiredStateSource(nil)
	selected := [][]byte{bytes.Repeat([]byte("a"), 5000), bytes.Repeat([]byte("b"), 100)}
	data, sizes, err := source.compress(selected)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := chunksResponse{Data: data, Sizes: sizes}.chunks()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(selected))
	tooMany := make([]int, 100)
	for i := range tooMany {
		tooMany[i] = chunks.MaxSize
	}
	for name, r := range map[string]chunksResponse{
		"broken off":      {Data: data[:len(data)/2], Sizes: sizes},
		"not compressed":  {Data: []byte("text"), Sizes: sizes},
		"less than named": {Data: data, Sizes: []int{5000, 101}},
		"negative size":   {Data: data, Sizes: []int{-1}},
		"size too large":  {Data: data, Sizes: []int{chunks.MaxSize + 1}},
		"too many":        {Data: data, Sizes: tooMany},
	} {
		_, err := r.chunks()
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// Guards against a node that waits for one that serves too many others, or that answers wrongly, although another one has the
// desired state too.
func TestDesiredStateComesFromAnotherNodeIfOneIsBusyOrFaulty(t *testing.T) {
	for name, faulty := range map[string]chunksResponse{
		"busy":           {Busy: true},
		"nothing new":    {Version: 2, RowVersion: 9},
		"a bad manifest": {Version: 2, Manifest: &chunks.Manifest{Sum: 1, Chunks: []chunks.Ref{{Sum: 1, Size: maxMessageSize}}}},
		"another value":  {Version: 2, Manifest: &chunks.Manifest{Sum: 1, Chunks: chunks.NewIndex([]byte("x")).Manifest().Chunks}, Sizes: []int{1}, Data: deflated(t, "x")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newVirtualCluster(t, 1, 3, memory.Rates{})
				defer c.stop()
				_, ok := c.waitServed(time.Minute)
				g.Expect(ok).To(BeTrue())
				n := c.nodes[0]
				n.cutOff.Store(true) // it does not read the store
				synctest.Wait()
				node, asked := n.running(), atomic.Int64{}
				exchange := node.exchange
				node.exchange = func(ctx context.Context, address, path string, body []byte) ([]byte, error) {
					if path == desiredChunksPath && address == c.nodes[1].config.PeerAddress {
						asked.Add(1)
						return cbor.Marshal(faulty)
					}
					return exchange(ctx, address, path, body)
				}
				c.setLargeDesiredState(2, addedRoutes)
				time.Sleep(largeApplyTime)
				g.Expect(c.outdated(2)).To(BeEmpty())
				g.Expect(asked.Load()).To(BeNumerically("<", 20))
			})
		})
	}
}

// deflated returns a compressed text.
func deflated(t *testing.T, text string) []byte {
	t.Helper()
	data, _, err := newDesiredStateSource(nil).compress([][]byte{[]byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
