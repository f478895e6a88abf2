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

// Names of the list files in error messages.
const (
	customersFile = "customers.csv"
	usesFile      = "uses.csv"
)

// MaxFileBytes is the maximum size of a list file. It bounds the work on a wrong file.
const MaxFileBytes = 16 << 20

// Upper limits of Rate and Weight in Use.
const (
	MaxRatePerSecond = 1_000_000
	MaxWeight        = 1000
)

// Descriptions of the allowed values in error messages.
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

// record is one row of a file. line counts from 1.
type record struct {
	line   int
	fields []string
}

// Parse parses both list files. The returned rows are sorted. The error has kind BadRequest and wraps a *Problems with
// the errors of both files.
func Parse(customers, uses []byte) ([]CustomerPlan, []Use, error) {
	usesProblems := &Problems{}
	useRows := usesProblems.parseUses(uses)
	plans := map[ident.PlanName]bool{}
	for _, row := range useRows {
		plans[row.Plan] = true
	}
	// Errors of the customers file are listed first, in the order of the command line flags. The uses file is parsed
	// first, since its plans are needed to check the customers.
	all := &Problems{}
	customerRows := all.parseCustomers(customers, plans)
	for _, problem := range usesProblems.List {
		all.add(problem.List, problem.Row, problem.Field, problem.Value, problem.Allowed)
	}
	all.Omitted += usesProblems.Omitted
	return customerRows, useRows, all.asError()
}

// parseCustomers returns the sorted rows of the customers file. plans are the plans of the uses file.
func (p *Problems) parseCustomers(data []byte, plans map[ident.PlanName]bool) []CustomerPlan {
	var rows []CustomerPlan
	firstLine := map[ident.Customer]int{}
	for _, rec := range p.readRecords(customersFile, data, customersHeader) {
		row := CustomerPlan{Customer: ident.Customer(rec.fields[0]), Plan: ident.PlanName(rec.fields[1])}
		p.checkName(customersFile, rec.line, "customer", rec.fields[0])
		if line, ok := firstLine[row.Customer]; ok {
			p.add(customersFile, rec.line, "customer", rec.fields[0],
				"each customer once; the first is in row "+strconv.Itoa(line))
			continue
		}
		firstLine[row.Customer] = rec.line
		if p.checkName(customersFile, rec.line, "plan", rec.fields[1]) && !plans[row.Plan] {
			p.add(customersFile, rec.line, "plan", rec.fields[1], "a plan of "+usesFile)
		}
		rows = append(rows, row)
	}
	sortCustomers(rows)
	return rows
}

// parseUses returns the sorted rows of the uses file.
func (p *Problems) parseUses(data []byte) []Use {
	type key struct {
		plan    ident.PlanName
		service ident.Service
	}
	var rows []Use
	firstLine := map[key]int{}
	for _, rec := range p.readRecords(usesFile, data, usesHeader) {
		row := p.parseUse(rec)
		k := key{row.Plan, row.Service}
		if line, ok := firstLine[k]; ok {
			p.add(usesFile, rec.line, "plan", rec.fields[0]+","+rec.fields[1],
				"each plan and service once; the first is in row "+strconv.Itoa(line))
			continue
		}
		firstLine[k] = rec.line
		rows = append(rows, row)
	}
	sortUses(rows)
	return rows
}

func (p *Problems) parseUse(rec record) Use {
	f := rec.fields
	row := Use{Plan: ident.PlanName(f[0]), Service: ident.Service(f[1]), Orders: f[4] == "yes"}
	p.checkName(usesFile, rec.line, "plan", f[0])
	p.checkName(usesFile, rec.line, "service", f[1])
	var err error
	// The character check rejects the hexadecimal and special forms that ParseFloat also accepts.
	row.Rate, err = strconv.ParseFloat(f[2], 64)
	if err != nil || strings.Trim(f[2], "0123456789.") != "" || !validRate(row.Rate) {
		p.add(usesFile, rec.line, "rate", quoteUnlessName(f[2]), allowedRate)
	}
	row.Weight, err = strconv.Atoi(f[3])
	if err != nil || row.Weight < 1 || row.Weight > MaxWeight {
		p.add(usesFile, rec.line, "weight", quoteUnlessName(f[3]), allowedWeight)
	}
	if f[4] != "yes" && f[4] != "no" {
		p.add(usesFile, rec.line, "orders", quoteUnlessName(f[4]), allowedOrders)
	}
	return row
}

// checkName reports whether value is a valid name, and adds a problem if it is not.
func (p *Problems) checkName(list string, row int, field, value string) bool {
	if ident.ValidName(value) {
		return true
	}
	p.add(list, row, field, quoteUnlessName(value), allowedName)
	return false
}

// quoteUnlessName quotes values that are not valid names, so that empty values, spaces and control characters are
// visible in error messages.
func quoteUnlessName(v string) string {
	if ident.ValidName(v) {
		return v
	}
	return strconv.Quote(v)
}

func validRate(r float64) bool {
	return r > 0 && r <= MaxRatePerSecond && !math.IsNaN(r)
}

// readRecords returns the rows of a file that have the right number of fields, without the header. Spaces around fields
// are removed and lines that start with # are ignored.
func (p *Problems) readRecords(list string, data []byte, header []string) []record {
	if len(data) > MaxFileBytes {
		p.add(list, 0, "", "", "at most 16 MiB")
		return nil
	}
	// Spreadsheet programs put a byte order mark before the header.
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	r.Comment = '#'
	r.FieldsPerRecord = -1
	wantHeader := strings.Join(header, ",")
	var rows []record
	headerSeen, badRowSeen := false, false
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			p.add(list, parseErr.Line, "", "", "CSV fields; quotes only around a whole field ("+parseErr.Err.Error()+")")
			badRowSeen = true
			continue
		}
		line, _ := r.FieldPos(0)
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		got := strings.Join(fields, ",")
		switch {
		case !headerSeen && got != wantHeader:
			p.add(list, line, "", quoteUnlessName(got), "the header "+wantHeader)
			return nil
		case !headerSeen:
			headerSeen = true
		case len(fields) != len(header):
			p.add(list, line, "", quoteUnlessName(got), strconv.Itoa(len(header))+" fields: "+wantHeader)
			badRowSeen = true
		default:
			rows = append(rows, record{line, fields})
		}
	}
	// An empty list would make the system refuse every request. An empty file is more likely a failed export.
	if len(rows) == 0 && !badRowSeen {
		p.add(list, 0, "", "", "the header "+wantHeader+" and at least one row")
	}
	return rows
}

func sortCustomers(rows []CustomerPlan) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].Customer < rows[j].Customer })
}

func sortUses(rows []Use) {
	sort.Slice(rows, func(i, j int) bool { return lessUse(rows[i], rows[j]) })
}

// lessUse orders rows by plan and service, which together are unique.
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
	// Writing to a bytes.Buffer cannot fail, and the fields are valid names and numbers.
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
