package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against readers of the store that grow with the cluster, and against none after a loss.
func TestAFewMembersWatch(t *testing.T) {
	g := NewWithT(t)
	watchers := func(members []string) (out []string) {
		for i, m := range members {
			others := append(append([]string{}, members[:i]...), members[i+1:]...)
			if IsWatcher(m, others, 12) {
				out = append(out, m)
			}
		}
		return out
	}
	var members []string
	for n := range 295 {
		members = append(members, fmt.Sprint("instance-", n))
	}
	g.Expect(watchers(members[:9])).To(HaveLen(9))
	first := watchers(members)
	g.Expect(first).To(HaveLen(12))
	var left []string
	for _, m := range members {
		if m != first[0] {
			left = append(left, m)
		}
	}
	g.Expect(watchers(left)).To(HaveLen(12))
	g.Expect(watchers(left)).To(ContainElements(first[1:]))
}
