package chunks

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// records returns a value of many similar records, as a configuration is.
func records(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out bytes.Buffer
	for range n {
		fmt.Fprintf(&out, `{"name":"r-%07x","host":"%06x.example","prefix":"/%07x/","timeout_ms":2500,"priority":1,"service":"booking"},`,
			rng.Uint32(), rng.Uint32(), rng.Uint32())
	}
	return out.Bytes()
}

// transfer brings a value to who has another one, in messages of at most maxBytes, and returns the bytes
// of all chunks that were sent.
func transfer(g *WithT, from, to []byte, maxBytes int) (sent int) {
	source, a := NewIndex(to), NewAssembly(from)
	g.Expect(source.Manifest().Check(len(to))).To(Succeed())
	a.Expect(source.Manifest())
	for !a.Complete() {
		batch := source.Select(a.Missing(maxBytes), maxBytes)
		g.Expect(batch).NotTo(BeEmpty())
		size := 0
		for _, chunk := range batch {
			size += len(chunk)
			g.Expect(a.Add(bytes.Clone(chunk))).To(BeTrue())
		}
		g.Expect(size).To(BeNumerically("<=", max(maxBytes, MaxSize)))
		sent += size
	}
	value, err := a.Value()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(value, to)).To(BeTrue())
	return sent
}

// Guards against a value that is sent whole for a small change, wherever in it that is.
func TestSmallChangeNeedsFewChunks(t *testing.T) {
	value := records(1, 1400)
	for name, changed := range map[string][]byte{
		"at the start":  append([]byte(`{"version":"r44"`), value...),
		"in the middle": bytes.Join([][]byte{value[:len(value)/2], value[len(value)/2+100:]}, []byte("another timeout")),
		"at the end":    append(bytes.Clone(value), "more"...),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(transfer(g, value, changed, 64<<10)).To(BeNumerically("<=", 2*MaxSize))
		})
	}
}

// Guards against a transfer that starts anew with each newer version, and so never ends.
func TestChunksOutlastANewerVersion(t *testing.T) {
	g := NewWithT(t)
	first := NewIndex(records(1, 1400))
	newer := append([]byte("newer"), records(1, 1400)...)
	second := NewIndex(newer)
	a := NewAssembly(nil)
	a.Expect(first.Manifest())
	for _, chunk := range first.Select(a.Missing(1<<20), len(newer)/2) {
		a.Add(chunk)
	}
	a.Expect(second.Manifest())
	sent := 0
	for !a.Complete() {
		for _, chunk := range second.Select(a.Missing(8<<10), 8<<10) {
			sent += len(chunk)
			a.Add(chunk)
		}
	}
	value, err := a.Value()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(value, newer)).To(BeTrue())
	g.Expect(sent).To(BeNumerically("<", len(newer)*2/3))
}

// Guards against values that can't be put together again.
func TestAnyValueIsTransferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		piece := rapid.SliceOfN(rapid.Byte(), 0, 3000)
		from := bytes.Repeat(piece.Draw(t, "from"), rapid.IntRange(0, 20).Draw(t, "from times"))
		to := bytes.Repeat(piece.Draw(t, "to"), rapid.IntRange(0, 20).Draw(t, "to times"))
		to = append(to, from[:len(from)/2]...)
		if len(to) > 0 {
			transfer(g, from, to, rapid.IntRange(0, 70_000).Draw(t, "message size"))
		}
		g.Expect(bytes.Equal(bytes.Join(Split(to), nil), to)).To(BeTrue())
	})
}

// Guards against manifests of other nodes that take more memory than a value may, and against chunks that
// nobody asked for.
func TestBadManifestsAndChunksAreRefused(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Manifest{Chunks: []Ref{{1, MaxSize + 1}}}.Check(1 << 20)).NotTo(Succeed())
	g.Expect(Manifest{Chunks: []Ref{{1, 0}}}.Check(1 << 20)).NotTo(Succeed())
	g.Expect(Manifest{Chunks: []Ref{{1, -5}}}.Check(1 << 20)).NotTo(Succeed())
	g.Expect(Manifest{Chunks: []Ref{{1, 9000}, {2, 9000}}}.Check(17_000)).NotTo(Succeed())
	g.Expect(Manifest{Chunks: make([]Ref, 100)}.Check(50_000)).NotTo(Succeed())
	g.Expect(Manifest{Chunks: []Ref{{1, 9000}, {2, 9000}}}.Check(18_000)).To(Succeed())

	a := NewAssembly(nil)
	g.Expect(a.Complete()).To(BeFalse())
	a.Expect(NewIndex([]byte("value")).Manifest())
	g.Expect(a.Add([]byte("other"))).To(BeFalse())
	g.Expect(a.Complete()).To(BeFalse())
	g.Expect(a.Add([]byte("value"))).To(BeTrue())
	g.Expect(a.Add([]byte("value"))).To(BeFalse())
	g.Expect(a.Complete()).To(BeTrue())

	wrong := NewAssembly(nil)
	m := NewIndex([]byte("value")).Manifest()
	m.Sum++
	wrong.Expect(m)
	wrong.Add([]byte("value"))
	_, err := wrong.Value()
	g.Expect(err).To(HaveOccurred())
}
