package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// watchers returns those of the members that watch, if at most 12 do.
func watchers(members []Candidate) (out []Candidate) {
	for i, m := range members {
		others := append(append([]Candidate{}, members[:i]...), members[i+1:]...)
		if IsWatcher(m, others, 12) {
			out = append(out, m)
		}
	}
	return out
}

// Guards against readers of the store that grow with the cluster, and against none after a loss.
func TestAFewMembersWatch(t *testing.T) {
	g := NewWithT(t)
	var members []Candidate
	for n := range 295 {
		members = append(members, Candidate{Instance: fmt.Sprint("instance-", n)})
	}
	g.Expect(watchers(members[:9])).To(HaveLen(9))
	first := watchers(members)
	g.Expect(first).To(HaveLen(12))
	var left []Candidate
	for _, m := range members {
		if m != first[0] {
			left = append(left, m)
		}
	}
	g.Expect(watchers(left)).To(HaveLen(12))
	g.Expect(watchers(left)).To(ContainElements(first[1:]))
}

// Guards against a change that is late on all members because the smallest of them read it first.
func TestTheLargestMembersWatch(t *testing.T) {
	g := NewWithT(t)
	var members, large []Candidate
	for n := range 82 {
		m := Candidate{Instance: fmt.Sprint("instance-", n), Cores: 0.16}
		if n%10 == 0 {
			m.Cores = 0.8
			large = append(large, m)
		}
		members = append(members, m)
	}
	g.Expect(watchers(members)).To(HaveLen(12))
	g.Expect(watchers(members)).To(ContainElements(large))
}
