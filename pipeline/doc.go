// Package pipeline decides what happens to the requests of one client connection whose
// client sends further requests before the first is answered: which are read, which run at
// the same time, whose response is written next and when the connection closes. Conn does no
// I/O and reads no clock: it takes events and returns actions.
//
// The load pattern that it answers: a client sends several reads at once and the first one is
// slow. Served one after the other, each waits for the work of all before it, although the
// backend servers are idle. Here idempotent requests run at the same time, and a slow one in
// front costs those behind it only their place in the order of responses.
//
// A request goes through these states:
//
//	read       whole on the connection, its headers not checked yet
//	offered    its handler asks to run it
//	running    its handler runs
//	answered   its response is complete, perhaps held back behind earlier ones
//
// Responses leave in the order of the requests. A request that must run alone starts when all
// earlier ones are answered, and none behind it starts before its answer. Nothing behind a
// response that closes the connection has run.
package pipeline
