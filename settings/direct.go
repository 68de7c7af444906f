package settings

import "bramleyfall.example/bramleyfall"

// Direct contains the validated settings common to all instances in direct mode.
type Direct struct {
	ID      bramleyfall.InstanceID
	Domain  bramleyfall.DomainName
	Packets bramleyfall.Endpoint
	HTTP    bramleyfall.Endpoint
	Metrics bramleyfall.Endpoint
	// Store is the address of the platform's store.
	Store string
}

// DirectFlags contains the flags from which Check makes a Direct.
type DirectFlags struct {
	set                                       *Set
	id, domain, packets, http, metrics, store *string
}

// DirectFlags adds the flags common to all instances in direct mode. The help text
// of --id names subject as what the flag identifies.
func (s *Set) DirectFlags(subject string) *DirectFlags {
	return &DirectFlags{
		set:     s,
		id:      s.String("id", "", "name of "+subject+", unique in the deployment"),
		domain:  s.String("domain", "", "failure domain of this instance"),
		packets: s.String("packets", "", "address for packets (UDP); callers receive packets on the same port"),
		http:    s.String("http", "", "address for /ready and /live"),
		metrics: s.String("metrics", "", "address for /metrics"),
		store:   s.String("store", "", "address of the platform's store"),
	}
}

// Check validates the flags and returns the settings. Errors are recorded in the set.
func (f *DirectFlags) Check() Direct {
	s := f.set
	s.Required("id", *f.id)
	s.Required("domain", *f.domain)
	return Direct{
		ID:      bramleyfall.InstanceID(*f.id),
		Domain:  bramleyfall.DomainName(*f.domain),
		Packets: s.Endpoint("packets", *f.packets),
		HTTP:    s.Endpoint("http", *f.http),
		Metrics: s.Endpoint("metrics", *f.metrics),
		Store:   s.Endpoint("store", *f.store).String(),
	}
}

// Results of Reload.
const (
	// Unchanged means that the settings are the same as before.
	Unchanged = "Unchanged"
	// AtNextStart means that changed settings take effect at the next start.
	AtNextStart = "AtNextStart"
)

// Reload reads the settings again and returns Unchanged or AtNextStart. The running
// program keeps its settings in either case. Invalid settings are returned as an
// error.
func Reload(s *Set, args []string, check func(), unchanged func() bool) (string, error) {
	if err := s.Parse(args); err != nil {
		return "", err
	}
	check()
	if err := s.Err(); err != nil {
		return "", err
	}
	if unchanged() {
		return Unchanged, nil
	}
	return AtNextStart, nil
}
