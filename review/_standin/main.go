// Command standin plays one case of the review: VMs of the system as processes, with stand-ins for the platform's store, targets
// and clients. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"held":     held,
	"bodies":   bodies,
	"attempts": attempts,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE REPOSITORY RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	w, err := newWorld(rec, os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("result", "could-not-run", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
