package etcd

import (
	"fmt"

	"bramleyfall.example/bramleyfall"
)

// The layout of the project's keys in the store.
const (
	root              = "/bramleyfall/"
	latestRevisionKey = root + "head"
	itemPrefix        = root + "item/"
	changePrefix      = root + "change/"
	changeIDPrefix    = root + "change-id/"
	contactPrefix     = root + "contact/"
)

func itemKey(key string) string { return itemPrefix + key }

func changeKey(r bramleyfall.Revision) string { return fmt.Sprintf("%s%012d", changePrefix, r) }

func changeIDKey(id bramleyfall.ChangeID) string { return changeIDPrefix + string(id) }

func contactKey(domain bramleyfall.DomainName, id bramleyfall.InstanceID) string {
	return contactPrefix + string(domain) + "/" + string(id)
}

// latestRevision is the value of latestRevisionKey. Every accepted change updates
// it in the same transaction, so that configuration revisions have no gaps.
type latestRevision struct {
	Revision bramleyfall.Revision
}

// Contact is the entry of a balancer in the store. Other balancers request membership
// and configuration from its control address when they join.
type Contact struct {
	ID      bramleyfall.InstanceID
	Domain  bramleyfall.DomainName
	Control bramleyfall.Endpoint
}
