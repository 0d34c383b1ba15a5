package driftintake

import "math"

// Class tells apart who uses a listener.
type Class int

// The classes.
const (
	// Callers are those that send queries, or ask which VMs to use.
	Callers Class = iota
	// VMs are the other VMs of the fleet.
	VMs
	// Operators are the platform's checks and those who read metrics.
	Operators
	classCount
)

// Rule bounds what a class holds.
type Rule struct {
	// Bytes are those that are held for all requests that are not answered yet. The
	// last Reserve of them is left to requests that hold no more than Small.
	Bytes, Reserve, Small int64
	// Conns is the number of connections.
	Conns int
}

// Shares of a VM's memory and sockets. With the replies, whose bodies may take 0.4
// while they are read, all shares of the memory are 0.83; the rest is that of the
// program itself.
var (
	byteShares   = [classCount]float64{Callers: 0.08, VMs: 0.03, Operators: 0.01}
	connShares   = [classCount]float64{Callers: 0.25, VMs: 0.05, Operators: 0.01}
	socketShares = [classCount]float64{Callers: 0.6, VMs: 0.1, Operators: 0.02}
)

const (
	// connBytes is about what a connection takes besides its request: two stacks and
	// the buffers of the standard server.
	connBytes = 24 << 10
	// reserveShare is the share of the bytes that is left to small requests.
	reserveShare = 0.25
	// smallRequest is what the account counts for a small request: about 2 KB of head
	// in 12 fields, and 8 KB of body.
	smallRequest = 16 << 10
	// minConns is the least bound on connections of a class.
	minConns = 8
	// leastBytes is the least bound on bytes of a class.
	leastBytes = 512 << 10
)

// Rules returns the rules of a VM with the given memory in bytes and number of sockets,
// 0 if they are not bounded.
func Rules(memory int64, sockets int) (rules [classCount]Rule) {
	for i := range rules {
		rule := Rule{Bytes: math.MaxInt64 / 2, Small: smallRequest, Conns: math.MaxInt}
		if memory > 0 {
			rule.Bytes = max(leastBytes, int64(byteShares[i]*float64(memory)))
			rule.Reserve = int64(reserveShare * float64(rule.Bytes))
			rule.Conns = max(minConns, int(connShares[i]*float64(memory)/connBytes))
		}
		if sockets > 0 {
			rule.Conns = min(rule.Conns, max(minConns, int(socketShares[i]*float64(sockets))))
		}
		rules[i] = rule
	}
	return rules
}
