package peer

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// PullDue returns the peer and the request of a pull that the node needs, and
// whether it needs one.
func (n *Node) PullDue() (bramleyfall.Endpoint, *peerpb.PullRequest, bool) {
	request := &peerpb.PullRequest{Revision: uint64(n.state.Revision())}
	if to := n.probes.pullMembers; !to.IsZero() {
		n.probes.pullMembers = bramleyfall.Endpoint{}
		request.Members = true
		if n.joined {
			request.Digests = n.members.digests[:]
		}
		return to, request, true
	}
	if n.state.NewestRevision() <= n.state.Revision() {
		return bramleyfall.Endpoint{}, nil, false
	}
	peers := n.randomPeers(1)
	if len(peers) == 0 {
		return bramleyfall.Endpoint{}, nil, false
	}
	return peers[0], request, true
}

// PullFrom returns the request that brings the membership up to a peer's.
func (n *Node) PullFrom(peer bramleyfall.Endpoint) *peerpb.PullRequest {
	n.probes.pullMembers = peer
	_, request, _ := n.PullDue()
	return request
}

// Pull answers a pull with the changes since the point where the two
// configurations part, or a snapshot where that is too long ago.
func (n *Node) Pull(request *peerpb.PullRequest) *peerpb.PullReply {
	reply := &peerpb.PullReply{Revision: uint64(n.state.Revision())}
	changes, ok := n.state.ChangesAfter(bramleyfall.Revision(request.Revision))
	if !ok {
		changes = n.state.Snapshot()
		reply.Full = true
	}
	reply.Changes = fromChanges(changes)
	if request.Members {
		for _, m := range n.members.differing(request.Digests) {
			reply.Members = append(reply.Members, fromMember(m))
		}
	}
	return reply
}

// Pulled takes the answer to a pull.
func (n *Node) Pulled(reply *peerpb.PullReply) {
	changes := toChanges(reply.Changes)
	if reply.Full {
		n.ApplyFull(changes, bramleyfall.Revision(reply.Revision))
	} else {
		for _, c := range changes {
			// A malformed change is refused by every instance alike.
			_ = n.ApplyChange(c)
		}
	}
	n.joined = n.joined || len(reply.Members) > 0
	n.learnAll(reply.Members)
}

// Joined reports whether the node has taken the membership of a peer.
func (n *Node) Joined() bool { return n.joined }
