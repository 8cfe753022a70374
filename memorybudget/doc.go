// Package memorybudget decides which connections may make the process hold more memory, and which are
// closed when the total is used up. Budget does no I/O and reads no clock: it takes events and returns
// decisions.
//
// The load pattern that it answers: clients that nobody controls send legal and illegal requests whose
// parts cost far more memory than bytes on the wire, on many connections at once, and leave them open
// just short of the end. A bound for each request or connection doesn't help, because a single request
// may be large and there may be many of them.
//
// Bytes are what something costs in memory. Each connection is a holder. At the edge of the total, the
// holders that hold the most and have moved the least are closed first, as long as nothing that may run
// depends on them. The last part of the total is for holders that hold little, so that small requests are
// served beside large ones.
package memorybudget
