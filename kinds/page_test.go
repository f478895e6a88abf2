package kinds

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var updatePage = flag.Bool("update", false, "write docs/errors.md")

const pagePath = "../docs/errors.md"

// meanings describes when each kind is used and what the caller should do, for docs/errors.md.
var meanings = map[Kind]string{
	Answered:         "The upstream's answer is passed on whole; its own status is used.",
	BadRequest:       "A header, parameter, setting or list row is malformed. The detail names it.",
	UnknownCustomer:  "The customer is not in the list of customers' plans, or the request has no valid API key.",
	NotInPlan:        "The customer's plan does not include the service, or not orders to it.",
	NotFound:         "No such path, order, drain, move or service of a dump.",
	RateLimited:      "The customer is above the rate of its plan, or its rate in the configuration is invalid.",
	Overloaded:       "No slot was free in time and the queue is full, or every target shed the request.",
	DeadlineTooShort: "The work cannot finish before the deadline, so it was not started.",
	NoTarget:         "The service has no target that this entry may use now.",
	Stopping:         "The VM is leaving or not ready. Use the next VM of the lookup answer.",
	StaleTicket:      "The order was not run under this id and never will be. Send it again with the ticket of the answer.",
	UpstreamFailed:   "An idempotent request failed at every target that was tried.",
	Timeout:          "The deadline passed while an idempotent request was in progress.",
	OutcomeUnknown: "The order may have run. Ask again with the same id; operators find it with `currantpier unknown`. " +
		"Never send it with a new id before somebody has looked.",
	InProgress:   "Another request with this id is being run. Ask again with the same id.",
	Conflict:     "Another change came first; nothing was changed. The message says which version is in force and what differs.",
	StoreDown:    "The platform's store or the daemon was not reached; nothing was changed.",
	StoreUnknown: "The store's answer was lost, and the change may have been made. See `currantpier status`.",
	Fenced:       "The lease or the journal belongs to another process now; nothing was written.",
	Internal:     "A fault of the system. Report it with the log line.",
}

// renderPage returns the content of docs/errors.md.
func renderPage() string {
	var b strings.Builder
	b.WriteString("# Outcomes and errors\n\nEvery answer to a caller has the header `Currantpier-Outcome` with one of " +
		"these kinds; refusals have a JSON body `{\"kind\",\"ran\",\"retry\",\"detail\"}`. \"Ran: no\" is a promise: the " +
		"request was not run and will not be. This page is written by `go test ./kinds -update`.\n\n" +
		"| kind | status | ran | retry | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, k := range All() {
		a := k.Answer()
		after := ""
		if a.After > 0 {
			after = a.After.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", a.Name, a.Status, a.Ran, a.Retry, after, meanings[k])
	}
	b.WriteString("\nRetry advice: `never` do not send it again unchanged; `same-id` ask again with the same request id; " +
		"`new-id` send it with a new id made from the header `Currantpier-Ticket`; `later` send it again after Retry-After " +
		"(an order with a new id); `other-vm` use the next VM of the lookup answer; `at-will` it is idempotent.\n")
	return b.String()
}

// docs/errors.md must describe every kind and match the answers in the code.
func TestErrorsPage(t *testing.T) {
	for _, k := range All() {
		if meanings[k] == "" {
			t.Errorf("%s has no description in meanings", k)
		}
	}
	want := renderPage()
	if *updatePage {
		if err := os.WriteFile(pagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/errors.md is out of date; run go test ./kinds -update:\n%s", diff)
	}
}
