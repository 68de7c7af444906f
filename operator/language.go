// Package operator implements the operators' query and command language:
// parsing, queries, the validation of commands and the prediction of their
// impact. A balancer executes statements through Service; the command-line tool
// only parses them. Package etcd commits the resulting changes.
package operator

import (
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

// Statement is one statement of the language. Exactly one field is set.
type Statement struct {
	Show    *Show    `parser:"  'show' @@"`
	Explain *Explain `parser:"| 'explain' 'flow' @@"`
	Create  *Create  `parser:"| 'create' 'service' @@"`
	Add     *Add     `parser:"| 'add' 'address' @@"`
	Remove  *Remove  `parser:"| 'remove' 'address' @@"`
	Allow   *Permit  `parser:"| 'allow' 'upstream' @@"`
	Forbid  *Permit  `parser:"| 'forbid' 'upstream' @@"`
	Drain   *Name    `parser:"| 'drain' 'upstream' @@"`
	Undrain *Name    `parser:"| 'undrain' 'upstream' @@"`
	Take    *Name    `parser:"| 'take' 'domain' @@ 'out'"`
	Return  *Name    `parser:"| 'return' 'domain' @@ 'in'"`
	Set     *Set     `parser:"| 'set' @@"`
	Delete  *Name    `parser:"| 'delete' 'service' @@"`
}

// Name is the name of the upstream, failure domain or service that a statement
// applies to.
type Name struct {
	Value string `parser:"@Word"`
}

// Show queries the configuration, the membership or the status of a change.
type Show struct {
	Subject string    `parser:"( @('services' | 'domains' | 'instances' | 'revision' | 'upstreams')"`
	Change  string    `parser:"| 'change' @Word )"`
	Service string    `parser:"( 'of' @Word )?"`
	Where   []*Filter `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

// Filter selects the rows whose column satisfies the comparison with the value.
type Filter struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@Word"`
}

// Explain queries the route of the packets of a flow and the reasons for it.
type Explain struct {
	Source      string `parser:"@Word 'to'"`
	Destination string `parser:"@Word"`
}

// Create creates a service.
type Create struct {
	Name    string   `parser:"@Word"`
	Address *Address `parser:"'at' @@"`
	Allow   []string `parser:"( 'allow' @Word ( ',' @Word )* )?"`
}

// Address is an address with its traffic class.
type Address struct {
	Address string `parser:"@Word"`
	Class   string `parser:"( 'class' @('orders' | 'feed' | 'files') )?"`
}

// Add adds an address to a service.
type Add struct {
	Address *Address `parser:"@@"`
	Service string   `parser:"'to' @Word"`
}

// Remove removes an address from a service.
type Remove struct {
	Address string `parser:"@Word"`
	Service string `parser:"'from' @Word"`
}

// Permit allows or forbids upstreams for a service.
type Permit struct {
	Pattern string `parser:"@Word"`
	Service string `parser:"'for' @Word"`
}

// Set sets a property of a service.
type Set struct {
	Service  string `parser:"@Word"`
	Property string `parser:"@('WarmUp' | 'SilentAfter')"`
	Value    string `parser:"@Word"`
}

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s!=<>,]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(statementLexer),
	participle.Elide("Space"),
	participle.UseLookahead(2),
)

// Grammar returns the grammar of the language in EBNF.
func Grammar() string { return parser.String() }

// Parse parses one statement. The error gives the column of the fault and the
// input expected there.
func Parse(text string) (*Statement, error) {
	s, err := parser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		return nil, bramleyfall.Errorf(bramleyfall.BadStatement, "column %d: %s", parseErr.Position().Column, parseErr.Message())
	}
	return nil, bramleyfall.Errorf(bramleyfall.BadStatement, "%v", err)
}

// IsCommand reports whether the statement changes the configuration.
func (s *Statement) IsCommand() bool { return s.Show == nil && s.Explain == nil }

// parseAddress parses an address such as "127.0.2.1:443/tcp".
func parseAddress(text string) (bramleyfall.Endpoint, bramleyfall.Protocol, error) {
	address, protocol, ok := splitProtocol(text)
	if !ok {
		return bramleyfall.Endpoint{}, 0, bramleyfall.Errorf(bramleyfall.BadStatement,
			"%q is not an address such as 127.0.2.1:443/tcp", text)
	}
	endpoint, err := bramleyfall.ParseEndpoint(address)
	if err != nil {
		return endpoint, 0, bramleyfall.Errorf(bramleyfall.BadStatement, "%q: %v", text, err)
	}
	p, err := bramleyfall.ParseProtocol(protocol)
	if err != nil {
		return endpoint, 0, bramleyfall.Errorf(bramleyfall.BadStatement, "%q: %v", text, err)
	}
	return endpoint, p, nil
}

func parseDuration(text string) (bramleyfall.Duration, error) {
	const (
		minDuration = time.Second
		maxDuration = time.Hour
	)
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, bramleyfall.Errorf(bramleyfall.BadStatement, "%q is not a duration such as 30s", text)
	}
	if d < minDuration || d > maxDuration {
		return 0, bramleyfall.Errorf(bramleyfall.BadStatement, "%s is not between %s and %s", d, minDuration, maxDuration)
	}
	return bramleyfall.Duration(d), nil
}
