// Package operator implements the operators' interface: a small query and command
// language, and the calls behind plan and apply.
package operator

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// Statement is a parsed statement; exactly one field is set.
type Statement struct {
	Show    *Show    `parser:"(  'show' @@"`
	Drain   *Drain   `parser:" | 'drain' @@"`
	Readmit *Readmit `parser:" | 'readmit' @@"`
	Set     *Set     `parser:" | 'set' @@ )"`
}

// Show is a query, such as: show engines where state = draining limit 10.
type Show struct {
	Subject    string      `parser:"@('engines' | 'nodes' | 'tenants' | 'models' | 'pools' | 'services' | 'prefixes' | 'configuration')"`
	Hot        bool        `parser:"@'hot'?"`
	Conditions []Condition `parser:"('where' @@ ('and' @@)*)?"`
	Limit      int         `parser:"('limit' @Word)?"`
}

// Condition compares one column with a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@(Word | String)"`
}

// Drain stops new work for a backend: drain engine NAME.
type Drain struct {
	Kind string `parser:"@('engine' | 'server')"`
	Name string `parser:"@(Word | String)"`
}

// Readmit reverts a Drain: readmit engine NAME.
type Readmit struct {
	Kind string `parser:"@('engine' | 'server')"`
	Name string `parser:"@(Word | String)"`
}

// Set changes one value: set tenant NAME priority 3, set model NAME version v2.
type Set struct {
	Subject string `parser:"@('tenant' | 'model')"`
	Name    string `parser:"@(Word | String)"`
	Field   string `parser:"@('priority' | 'weight' | 'rate' | 'version' | 'class')"`
	Value   string `parser:"@(Word | String)"`
}

// A Word may start with a digit, as in the version 2026-12.
var rules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[a-zA-Z0-9][a-zA-Z0-9_.:/-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Space", Pattern: `\s+`},
})

var statementParser = participle.MustBuild[Statement](
	participle.Lexer(rules),
	participle.Elide("Space"),
	participle.Unquote("String"),
)

// Parse parses one statement. A syntax error names the column and the expected
// token.
func Parse(text string) (*Statement, error) {
	statement, err := statementParser.ParseString("", text)
	if err == nil {
		return statement, nil
	}
	column, message := 1, err.Error()
	var located participle.Error
	if errors.As(err, &located) {
		column, message = located.Position().Column, located.Message()
	}
	return nil, failure.New(failure.KindInvalidRequest, fmt.Sprintf("column %d: %s", column, message),
		"write for example: show engines where state = draining limit 10")
}
