package lists

// Parse reads both lists. The rows are sorted in the result. The error is of type Problems and holds every error of
// both lists, up to MaxProblems.
func Parse(customers, uses []byte) ([]CustomerPlan, []Use, error) { return nil, nil, nil }

// CustomersCSV returns the list of customers' plans in the format that Parse reads.
func CustomersCSV(rows []CustomerPlan) []byte { return nil }

// UsesCSV returns the list of what each plan may use in the format that Parse reads.
func UsesCSV(rows []Use) []byte { return nil }
