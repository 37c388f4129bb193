package quarantine

import "github.com/cespare/xxhash/v2"

// TrialNode returns the one of some nodes that lets a request in quarantine through for a
// trial: the one that ranks highest by a hash of both. Nodes that disagree on who is there
// may choose different ones, which costs a back end for each at most.
func TrialNode(signature Signature, nodes []string) string {
	chosen, highest := "", uint64(0)
	for _, node := range nodes {
		rank := xxhash.Sum64(append(signature[:], node...))
		if chosen == "" || rank > highest || (rank == highest && node < chosen) {
			chosen, highest = node, rank
		}
	}
	return chosen
}
