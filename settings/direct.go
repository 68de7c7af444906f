package settings

import "bramleyfall.example/bramleyfall"

// Direct holds the checked settings that all instances in direct mode have.
type Direct struct {
	ID      bramleyfall.InstanceID
	Domain  bramleyfall.DomainName
	Packets bramleyfall.Endpoint
	HTTP    bramleyfall.Endpoint
	Metrics bramleyfall.Endpoint
	// Store is the address of the platform's store.
	Store string
}

// DirectFlags are the flags behind a Direct.
type DirectFlags struct {
	set                                      *Set
	id, domain, packets, http, metric, store *string
}

// DirectFlags adds the flags that all instances in direct mode have. What names
// the thing that --id identifies.
func (s *Set) DirectFlags(what string) *DirectFlags {
	return &DirectFlags{
		set:     s,
		id:      s.String("id", "", "name of "+what+", unique in the deployment"),
		domain:  s.String("domain", "", "failure domain of this instance"),
		packets: s.String("packets", "", "address for packets (UDP); callers are reached at its port"),
		http:    s.String("http", "", "address for /ready and /live"),
		metric:  s.String("metrics", "", "address for /metrics"),
		store:   s.String("store", "", "address of the platform's store"),
	}
}

// Check checks the flags and returns the settings.
func (f *DirectFlags) Check() Direct {
	s := f.set
	s.Required("id", *f.id)
	s.Required("domain", *f.domain)
	return Direct{
		ID:      bramleyfall.InstanceID(*f.id),
		Domain:  bramleyfall.DomainName(*f.domain),
		Packets: s.Endpoint("packets", *f.packets),
		HTTP:    s.Endpoint("http", *f.http),
		Metrics: s.Endpoint("metrics", *f.metric),
		Store:   s.Endpoint("store", *f.store).String(),
	}
}

// What Changed says of settings that were read again.
const (
	Unchanged = "Unchanged"
	// AtNextStart means that the new settings hold from the next start on.
	AtNextStart = "AtNextStart"
)

// Changed reads settings again and tells what becomes of them. Bad ones are
// reported and change nothing.
func Changed(s *Set, args []string, check func(), same func() bool) (string, error) {
	if err := s.Parse(args); err != nil {
		return "", err
	}
	check()
	if err := s.Err(); err != nil {
		return "", err
	}
	if same() {
		return Unchanged, nil
	}
	return AtNextStart, nil
}
