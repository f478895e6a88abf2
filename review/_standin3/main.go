package main

import (
	"fmt"
	"os"
)

// main plays the case that its first argument names, with the record in the folder that the second one names. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
func main() {
	cases := map[string]func(*record, bool) (bool, error){"quota-stop": quotaStop, "quota-kill": quotaKill}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
