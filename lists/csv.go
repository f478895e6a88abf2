package lists

import (
	"bytes"
	"encoding/csv"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/ident"
)

// Names of the lists in errors.
const (
	customersFile = "customers.csv"
	usesFile      = "uses.csv"
)

// MaxList is the size of the longest list file, in bytes. It bounds the work on a wrong file.
const MaxList = 16 << 20

// Limits of the fields of Use.
const (
	MaxRate   = 1_000_000
	MaxWeight = 1000
)

// What is allowed, for errors.
const (
	allowedName   = "1 to 64 letters, digits, '-' or '_'"
	allowedRate   = "above 0 to 1000000 requests per second"
	allowedWeight = "1 to 1000"
	allowedOrders = "yes or no"
)

var (
	customersHeader = []string{"customer", "plan"}
	usesHeader      = []string{"plan", "service", "rate", "weight", "orders"}
)

// record is one row of a file.
type record struct {
	line   int
	fields []string
}

// Parse reads both lists. The rows are sorted in the result. The error has kind BadRequest and wraps a *Problems with
// the errors of both lists.
func Parse(customers, uses []byte) ([]CustomerPlan, []Use, error) {
	p := &Problems{}
	u := p.parseUses(uses)
	plans := map[ident.PlanName]bool{}
	for _, one := range u {
		plans[one.Plan] = true
	}
	// The customers' file comes first in the report, as it does in the command line.
	q := &Problems{}
	c := q.parseCustomers(customers, plans)
	for _, one := range p.List {
		q.add(one.List, one.Row, one.Field, one.Value, one.Allowed)
	}
	q.Omitted += p.Omitted
	return c, u, q.err()
}

func (p *Problems) parseCustomers(data []byte, plans map[ident.PlanName]bool) []CustomerPlan {
	var rows []CustomerPlan
	first := map[ident.Customer]int{}
	for _, rec := range p.records(customersFile, data, customersHeader) {
		row := CustomerPlan{Customer: ident.Customer(rec.fields[0]), Plan: ident.PlanName(rec.fields[1])}
		p.name(customersFile, rec.line, "customer", rec.fields[0])
		if line, ok := first[row.Customer]; ok {
			p.add(customersFile, rec.line, "customer", rec.fields[0],
				"each customer once; the first is in row "+strconv.Itoa(line))
			continue
		}
		first[row.Customer] = rec.line
		if p.name(customersFile, rec.line, "plan", rec.fields[1]) && !plans[row.Plan] {
			p.add(customersFile, rec.line, "plan", rec.fields[1], "a plan of "+usesFile)
		}
		rows = append(rows, row)
	}
	sortCustomers(rows)
	return rows
}

func (p *Problems) parseUses(data []byte) []Use {
	type key struct {
		plan    ident.PlanName
		service ident.Service
	}
	var rows []Use
	first := map[key]int{}
	for _, rec := range p.records(usesFile, data, usesHeader) {
		row := p.parseUse(rec)
		k := key{row.Plan, row.Service}
		if line, ok := first[k]; ok {
			p.add(usesFile, rec.line, "plan", rec.fields[0]+","+rec.fields[1],
				"each plan and service once; the first is in row "+strconv.Itoa(line))
			continue
		}
		first[k] = rec.line
		rows = append(rows, row)
	}
	sortUses(rows)
	return rows
}

func (p *Problems) parseUse(rec record) Use {
	f := rec.fields
	row := Use{Plan: ident.PlanName(f[0]), Service: ident.Service(f[1]), Orders: f[4] == "yes"}
	p.name(usesFile, rec.line, "plan", f[0])
	p.name(usesFile, rec.line, "service", f[1])
	var err error
	// The character check excludes the hexadecimal and special forms that ParseFloat also reads.
	row.Rate, err = strconv.ParseFloat(f[2], 64)
	if err != nil || strings.Trim(f[2], "0123456789.") != "" || !validRate(row.Rate) {
		p.add(usesFile, rec.line, "rate", quoted(f[2]), allowedRate)
	}
	row.Weight, err = strconv.Atoi(f[3])
	if err != nil || row.Weight < 1 || row.Weight > MaxWeight {
		p.add(usesFile, rec.line, "weight", quoted(f[3]), allowedWeight)
	}
	if f[4] != "yes" && f[4] != "no" {
		p.add(usesFile, rec.line, "orders", quoted(f[4]), allowedOrders)
	}
	return row
}

// name reports a name that is not valid.
func (p *Problems) name(list string, row int, field, value string) bool {
	if ident.ValidName(value) {
		return true
	}
	p.add(list, row, field, quoted(value), allowedName)
	return false
}

// quoted makes empty values, spaces and control characters visible.
func quoted(v string) string {
	if ident.ValidName(v) {
		return v
	}
	return strconv.Quote(v)
}

func validRate(r float64) bool {
	return r > 0 && r <= MaxRate && !math.IsNaN(r)
}

// records returns the rows of a file that have the right number of fields, without the header.
func (p *Problems) records(list string, data []byte, header []string) []record {
	if len(data) > MaxList {
		p.add(list, 0, "", "", "at most 16 MiB")
		return nil
	}
	// Spreadsheet programs write a byte order mark.
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	r.Comment = '#'
	r.FieldsPerRecord = -1
	want := strings.Join(header, ",")
	var rows []record
	headed, damaged := false, false
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var pe *csv.ParseError
		if errors.As(err, &pe) {
			p.add(list, pe.Line, "", "", "CSV fields; quotes only around a whole field ("+pe.Err.Error()+")")
			damaged = true
			continue
		}
		line, _ := r.FieldPos(0)
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		text := strings.Join(fields, ",")
		switch {
		case !headed && text != want:
			p.add(list, line, "", quoted(text), "the header "+want)
			return nil
		case !headed:
			headed = true
		case len(fields) != len(header):
			p.add(list, line, "", quoted(text), strconv.Itoa(len(header))+" fields: "+want)
			damaged = true
		default:
			rows = append(rows, record{line, fields})
		}
	}
	// An empty file is far more often a failed export than the wish to refuse every request.
	if len(rows) == 0 && !damaged {
		p.add(list, 0, "", "", "the header "+want+" and at least one row")
	}
	return rows
}

func sortCustomers(rows []CustomerPlan) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].Customer < rows[j].Customer })
}

func sortUses(rows []Use) {
	sort.Slice(rows, func(i, j int) bool { return lessUse(rows[i], rows[j]) })
}

func lessUse(a, b Use) bool {
	return a.Plan < b.Plan || a.Plan == b.Plan && a.Service < b.Service
}

// CustomersCSV returns the list of customers' plans in the format that Parse reads.
func CustomersCSV(rows []CustomerPlan) []byte {
	recs := [][]string{customersHeader}
	for _, r := range rows {
		recs = append(recs, []string{string(r.Customer), string(r.Plan)})
	}
	return writeCSV(recs)
}

// UsesCSV returns the list of what each plan may use in the format that Parse reads.
func UsesCSV(rows []Use) []byte {
	recs := [][]string{usesHeader}
	for _, r := range rows {
		recs = append(recs, []string{string(r.Plan), string(r.Service), formatRate(r.Rate), strconv.Itoa(r.Weight),
			yesNo(r.Orders)})
	}
	return writeCSV(recs)
}

func writeCSV(recs [][]string) []byte {
	var b bytes.Buffer
	// Writes to a bytes.Buffer do not fail, and the fields are valid names and numbers.
	_ = csv.NewWriter(&b).WriteAll(recs)
	return b.Bytes()
}

func formatRate(r float64) string {
	return strconv.FormatFloat(r, 'f', -1, 64)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
