package etcd

import (
	"fmt"

	"bramleyfall.example/bramleyfall"
)

// The layout of the project's keys in the platform.
const (
	root           = "/bramleyfall/"
	headKey        = root + "head"
	itemPrefix     = root + "item/"
	changePrefix   = root + "change/"
	changeIDPrefix = root + "change-id/"
	contactPrefix  = root + "contact/"
)

func itemKey(key string) string { return itemPrefix + key }

func changeKey(r bramleyfall.Revision) string { return fmt.Sprintf("%s%012d", changePrefix, r) }

func changeIDKey(id bramleyfall.ChangeID) string { return changeIDPrefix + string(id) }

func contactKey(domain bramleyfall.DomainName, id bramleyfall.InstanceID) string {
	return contactPrefix + string(domain) + "/" + string(id)
}

// head is the value of the head key. Every accepted change rewrites it, so
// that the changes form one sequence without gaps.
type head struct {
	Revision bramleyfall.Revision
}

// Contact is a balancer that others may ask for membership and configuration.
type Contact struct {
	ID      bramleyfall.InstanceID
	Domain  bramleyfall.DomainName
	Control bramleyfall.Endpoint
}
