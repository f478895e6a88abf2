package lists

import (
	"fmt"
	"strings"

	"github.com/currantpier/currantpier/kinds"
)

// MaxProblems is the maximum number of errors listed for one input. A wrong file can have an error in each of thousands
// of rows, and more lines than this do not help the operator.
const MaxProblems = 50

// Problem is one error in a list file or document.
type Problem struct {
	// List is "customers.csv" or "uses.csv" whatever the file is called, or the part of a document: "customers", "uses",
	// "drains" or "moves".
	List string
	// Row is the line in the file or the position in the document, counted from 1. It is 0 for an error of the whole
	// list.
	Row int
	// Field is the name of the column or field. It is empty for an error of the whole row.
	Field string
	Value string
	// Allowed describes the allowed values.
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

// Problems is an error that holds the problems of the lists or of a document, in the order of the rows.
type Problems struct {
	// List has at most MaxProblems entries.
	List []Problem
	// Omitted is the number of errors beyond MaxProblems.
	Omitted int
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	if p.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more errors", p.Omitted))
	}
	return strings.Join(lines, "\n")
}

// add appends a problem, or counts it as omitted. Values of more than 80 bytes are shortened.
func (p *Problems) add(list string, row int, field, value, allowed string) {
	if len(p.List) == MaxProblems {
		p.Omitted++
		return
	}
	// A value from a wrong file can have any length.
	if len(value) > 80 {
		value = value[:77] + "..."
	}
	p.List = append(p.List, Problem{list, row, field, value, allowed})
}

// asError returns p wrapped in an error of kind BadRequest, or nil if there are no problems.
func (p *Problems) asError() error {
	if len(p.List) == 0 {
		return nil
	}
	return kinds.Wrap(kinds.BadRequest, p, "lists")
}
