// Command pier runs the daemon of an entry VM on the users' platform.
package main

import (
	"os"

	"github.com/currantpier/currantpier/platform"
)

func main() { os.Exit(platform.Main()) }
