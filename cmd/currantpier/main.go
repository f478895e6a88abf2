// Command currantpier runs the daemons of the traffic steering system and the operators' commands.
package main

import "github.com/currantpier/currantpier/cmds"

func main() { cmds.Exit() }
