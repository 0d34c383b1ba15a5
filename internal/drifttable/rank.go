package drifttable

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nodeScore is the rendezvous hashing score of a node for a key.
func nodeScore(key, node string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(xxhash.Sum64String(key))
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Rank orders the nodes for a key by rendezvous hashing, the highest score
// first. Removing a node leaves the order of the others as it was.
//
//	owners := drifttable.Rank("counter-3a", []string{"vm-1", "vm-2"})
func Rank(key string, nodes []string) []string {
	ranked := make([]scoredNode, 0, len(nodes))
	for _, n := range nodes {
		ranked = append(ranked, scoredNode{node: n, score: nodeScore(key, n)})
	}
	slices.SortFunc(ranked, compareScores)
	ordered := make([]string, 0, len(ranked))
	for _, r := range ranked {
		ordered = append(ordered, r.node)
	}
	return ordered
}

// HighestRanked returns the node that Rank puts first, or "" if nodes is empty.
func HighestRanked(key string, nodes []string) string {
	var best scoredNode
	for _, n := range nodes {
		s := scoredNode{node: n, score: nodeScore(key, n)}
		if best.node == "" || compareScores(s, best) < 0 {
			best = s
		}
	}
	return best.node
}

// scoredNode is a node with its score for a key.
type scoredNode struct {
	node  string
	score uint64
}

// compareScores orders the higher score first, equal scores by name.
func compareScores(a, b scoredNode) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.node, b.node)
}
