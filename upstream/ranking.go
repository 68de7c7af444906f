package upstream

import "bramleyfall.example/bramleyfall"

// maxRanks is the maximum number of candidates that a packet can visit.
const maxRanks = bramleyfall.MaxHops * bramleyfall.MaxPages

// ranking holds the candidates with the highest scores in descending order.
type ranking struct {
	count int
	total int
	ranks [maxRanks]rank
}

type rank struct {
	score uint64
	index int32
}

// fill ranks the candidates by rendezvous hashing. With acceptingOnly, candidates
// that accept no new flows are omitted.
func (r *ranking) fill(candidates []Candidate, hash uint64, acceptingOnly bool) {
	for i := range candidates {
		c := &candidates[i]
		if acceptingOnly && !c.AcceptsNewFlows {
			continue
		}
		r.total++
		r.insert(rank{score: c.Upstream.Score(hash), index: int32(i)})
	}
}

func (r *ranking) insert(x rank) {
	if r.count == maxRanks && x.score <= r.ranks[maxRanks-1].score {
		return
	}
	i := r.count
	if i == maxRanks {
		i--
	} else {
		r.count++
	}
	for ; i > 0 && r.ranks[i-1].score < x.score; i-- {
		r.ranks[i] = r.ranks[i-1]
	}
	r.ranks[i] = x
}

// promote moves the candidate with the given key to the front.
func (r *ranking) promote(candidates []Candidate, owner bramleyfall.InstanceKey) {
	if owner == 0 {
		return
	}
	for i := range r.count {
		x := r.ranks[i]
		if candidates[x.index].Upstream != owner {
			continue
		}
		copy(r.ranks[1:i+1], r.ranks[:i])
		r.ranks[0] = x
		return
	}
}

// copyTo fills the hops of list from the ranks that start at first.
func (r *ranking) copyTo(list *bramleyfall.HopList, candidates []Candidate, first int) {
	n := min(r.count-first, bramleyfall.MaxHops)
	for i := range n {
		c := &candidates[r.ranks[first+i].index]
		list.Hops[i] = bramleyfall.Hop{Upstream: c.Upstream, Boot: c.Boot, Address: c.Address}
	}
	list.Count = uint8(n)
	list.More = first+n < r.count
}
