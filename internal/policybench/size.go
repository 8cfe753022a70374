// Package policybench simulates a cluster under generated load and compares assignment
// policies. It runs the cluster and planner packages in one process with virtual time; the
// only model of servers and network is one queue for each backend server.
package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
)

// Size describes the cluster to simulate.
type Size struct {
	Name     string
	Services []ServiceSize
	Slots    int // of each backend server
	Zones    int
	Regions  int
	// Keys is the total number of keys in use over all services.
	Keys float64
	// ServiceTime is the mean time for which a request holds a slot.
	ServiceTime time.Duration
	// PlanEvery is the interval between plans in seconds.
	PlanEvery int
}

// ServiceSize names a service and gives its number of members.
type ServiceSize struct {
	Name    string
	Members int
}

// Sizes returns the cluster sizes of design sections 1.1 and 1.6. The key counts of the
// two teams, Hinokuni and Holmgaard, are assumptions.
func Sizes() []Size {
	return []Size{
		{
			Name: "Hinokuni", Slots: 6, Zones: 3, Regions: 1, Keys: 1e6, ServiceTime: 5 * time.Millisecond, PlanEvery: 1,
			Services: []ServiceSize{{"booking", 8}, {"slots", 8}, {"records", 3}, {"billing", 3}},
		},
		{
			Name: "Holmgaard", Slots: 9, Zones: 3, Regions: 1, Keys: 1e6, ServiceTime: 5 * time.Millisecond, PlanEvery: 1,
			Services: []ServiceSize{{"sales", 9}, {"balance", 9}, {"content", 3}, {"vouchers", 3}},
		},
		{
			Name: "1900 nodes", Slots: 8, Zones: 22, Regions: 6, Keys: 2.2e9, ServiceTime: 700 * time.Microsecond, PlanEvery: 5,
			Services: []ServiceSize{{"passes", 1900}},
		},
	}
}

// Members returns the number of members over all services.
func (s Size) Members() int {
	n := 0
	for _, svc := range s.Services {
		n += svc.Members
	}
	return n
}

func (s Size) member(service string, i, incarnation int) cluster.Member {
	zone := i % s.Zones
	return cluster.Member{
		Session: cluster.Session{Instance: fmt.Sprintf("%s-%04d", service, i), Incarnation: uint64(incarnation)},
		Zone:    fmt.Sprintf("r%d/z%02d", zone%s.Regions, zone), Service: service, Slots: uint32(s.Slots),
	}
}

// cellsPerMember is the number of cells of the generated load for each member; it sets the
// resolution of the load over the hash space.
const cellsPerMember = 128

// baseUtilization is the mean load of a service without its hot keys, as a share of its
// slots.
const baseUtilization = 0.42

// demand is the generated load of a service without its hot keys. Each cell of the hash
// space belongs to one region; prefix[r][i] is the total load of region r in the cells
// before cell i.
type demand struct {
	prefix [][]float64
	cells  int
}

func newDemand(size Size, members int, rng *rand.Rand) *demand {
	d := &demand{cells: members * cellsPerMember, prefix: make([][]float64, size.Regions)}
	for r := range d.prefix {
		d.prefix[r] = make([]float64, d.cells+1)
	}
	mean := baseUtilization * float64(size.Slots) / cellsPerMember
	for i := range d.cells {
		region := rng.IntN(size.Regions)
		for r := range d.prefix {
			d.prefix[r][i+1] = d.prefix[r][i]
		}
		d.prefix[region][i+1] += mean * rng.ExpFloat64()
	}
	return d
}

// regionLoads writes the load of [start, next) for each region to out. A next of 0 stands
// for the end of the hash space.
func (d *demand) regionLoads(start, next uint64, out []float64) {
	for r, p := range d.prefix {
		end := p[d.cells]
		if next != 0 {
			end = d.prefixAt(p, next)
		}
		out[r] = end - d.prefixAt(p, start)
	}
}

// prefixAt returns the load before hash, interpolated within a cell.
func (d *demand) prefixAt(p []float64, hash uint64) float64 {
	whole, part := math.Modf(float64(hash) / (1 << 32) / (1 << 32) * float64(d.cells))
	i := int(whole)
	if i >= d.cells {
		return p[d.cells]
	}
	return p[i] + part*(p[i+1]-p[i])
}
