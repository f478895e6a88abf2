// Command currantpier runs the daemons of the traffic steering system and the tools for its operators.
package main

func main() {}
