package lists

import (
	"fmt"
	"strings"

	"github.com/currantpier/currantpier/kinds"
)

// MaxProblems is the number of errors that are reported for one input. The wrong file can have an error in each of
// thousands of rows, and more lines than this do not help the operator.
const MaxProblems = 50

// Problem is one error of a list.
type Problem struct {
	// List is the file's usual name, "customers.csv" or "uses.csv", or the part of a document: "customers", "uses",
	// "drains" or "moves".
	List string
	// Row is the line of the file, or the position in the document, from 1. It is 0 for an error of the whole list.
	Row int
	// Field is the column's name; empty for an error of the whole row.
	Field string
	Value string
	// Allowed says what would be right.
	Allowed string
}

// String returns the problem on one line, for example
// "uses.csv row 4, rate = 0: allowed: above 0 to 1000000 requests per second".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.List)
	if p.Row > 0 {
		fmt.Fprintf(&b, " row %d", p.Row)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, ", %s", p.Field)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", p.Value)
	}
	return b.String() + ": allowed: " + p.Allowed
}

// Problems holds the errors of the lists, in the order of the rows.
type Problems struct {
	// List has at most MaxProblems entries.
	List []Problem
	// Omitted counts the errors beyond those.
	Omitted int
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, one := range p.List {
		lines = append(lines, one.String())
	}
	if p.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more errors", p.Omitted))
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(list string, row int, field, value, allowed string) {
	if len(p.List) == MaxProblems {
		p.Omitted++
		return
	}
	// A value from a wrong file can be of any length.
	if len(value) > 80 {
		value = value[:77] + "..."
	}
	p.List = append(p.List, Problem{list, row, field, value, allowed})
}

// err returns the problems as a BadRequest error, or nil if there are none.
func (p *Problems) err() error {
	if len(p.List) == 0 {
		return nil
	}
	return kinds.Wrap(kinds.BadRequest, p, "lists")
}
