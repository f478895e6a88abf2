package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scripts has the scripts by name. Each reports whether the rule was broken.
var scripts = map[string]func(record string, trouble bool) (broken bool, err error){
	"gone": runGone,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCRIPT RECORD")
		os.Exit(exitNotRun)
	}
	broken, err := scripts[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
