package peer

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// NextPull returns the peer and the request of the next pull, and false if none
// is needed. The node pulls when its membership differs from a peer's or when
// it lacks a configuration change.
func (n *Node) NextPull() (bramleyfall.Endpoint, *peerpb.PullRequest, bool) {
	request := &peerpb.PullRequest{Revision: uint64(n.state.Revision())}
	if to := n.probes.membershipPeer; !to.IsZero() {
		n.probes.membershipPeer = bramleyfall.Endpoint{}
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

// MembershipPullRequest returns the request to pull the membership from a peer.
func (n *Node) MembershipPullRequest(peer bramleyfall.Endpoint) *peerpb.PullRequest {
	n.probes.membershipPeer = peer
	_, request, _ := n.NextPull()
	return request
}

// HandlePull returns the reply to a pull: the changes after the requester's
// revision, or a snapshot of the configuration if the log no longer reaches
// back that far.
func (n *Node) HandlePull(request *peerpb.PullRequest) *peerpb.PullReply {
	reply := &peerpb.PullReply{Revision: uint64(n.state.Revision())}
	changes, ok := n.state.ChangesAfter(bramleyfall.Revision(request.Revision))
	if !ok {
		changes = n.state.Snapshot()
		reply.Full = true
	}
	reply.Changes = fromChanges(changes)
	if request.Members {
		for _, m := range n.members.differingRecords(request.Digests) {
			reply.Members = append(reply.Members, fromMember(m))
		}
	}
	return reply
}

// HandlePullReply applies the reply to a pull.
func (n *Node) HandlePullReply(reply *peerpb.PullReply) {
	changes := toChanges(reply.Changes)
	if reply.Full {
		n.ApplySnapshot(changes, bramleyfall.Revision(reply.Revision))
	} else {
		for _, c := range changes {
			// Every instance rejects a malformed change in the same way.
			_ = n.ApplyChange(c)
		}
	}
	n.joined = n.joined || len(reply.Members) > 0
	n.mergeReceivedAll(reply.Members)
}

// Joined reports whether the node has received the membership from a peer.
func (n *Node) Joined() bool { return n.joined }
