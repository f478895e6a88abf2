package cmds

import "os"

// commands returns the subcommands in the order of the help text.
func commands(s streams) []command {
	op := operator{s: s}
	return []command{
		{"local", "run a whole deployment in one process", "Runs the Kalniņš set-up with stand-ins for the platform and " +
			"the upstreams on loopback ports, and prints commands to try.", &localCommand{s: s}},
		{"entry", "run the entry daemon", "Answers lookups and forwards requests. SIGTERM begins a planned stop, a " +
			"second one ends it at once; SIGUSR1 writes a dump to standard error.", &entryCommand{s: s}},
		{"steer", "run the steer daemon", "Accepts configurations, passes documents on, and computes the traffic plan " +
			"while it holds the lease. SIGUSR1 writes a dump to standard error.", &steerCommand{s: s}},
		{"check", "check a settings file or the two lists", "Reports every error and changes nothing.", &checkCommand{s: s}},
		{"apply", "propose new lists", "Shows what differs from the configuration in force and proposes it by one " +
			"conditional write.", &applyCommand{operator: op}},
		{"drain", "announce that something takes no new work", "Announces the drain of a target, vm, failure-domain or " +
			"region.", &drainCommand{operator: op}},
		{"undrain", "take a drain back", "Takes the drain of a target, vm, failure-domain or region back.",
			&drainCommand{operator: op, undo: true}},
		{"move", "move a share of a service's traffic", "Moves a share of the traffic of a service that arrives in one " +
			"region to another region, in steps under the cap; --stop ends a move.", &moveCommand{operator: op}},
		{"status", "show the state of the whole system", "Shows versions, the lease holder, the VMs, drains, moves and " +
			"the shifts that are not at their goal.", &statusCommand{operator: op}},
		{"dump", "show the state of one process", "Prints the state of every service of a daemon, or of those named.",
			&dumpCommand{s: s}},
		{"explain", "tell the story of one request", "Reads the logs of many VMs, from files or standard input, and prints what " +
			"was decided about one request, and what each VM believed then.", &explainCommand{s: s, in: os.Stdin}},
		{"where", "show where a request would go now", "Asks one VM where a request would go and why, without sending it. The VM " +
			"counts nothing and takes no quota.", &whereCommand{s: s}},
		{"unknown", "list orders whose outcome is unknown", "Asks every live entry for the orders whose outcome is " +
			"unknown.", &unknownOrdersCommand{operator: op}},
		{"stand-in", "run a stand-in of the platform or of an upstream", "Runs a stand-in for trials and tests. It is " +
			"not for production.", &standInCommand{s: s}},
	}
}
