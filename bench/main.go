// Program bench measures the costs that the documentation states and prints a line
// for each: decisions of balancers and agents, updates of the routing table, an
// agent's memory for a flow, and the throughput of a balancer relative to a bare
// relay, with hop lists (package fabric) and in direct mode (package direct). Program
// slopes measures how the costs grow.
package main

import (
	"fmt"
	"os"

	"bramleyfall.example/bramleyfall/settings"
)

func main() {
	s := settings.New("bench", "measures decision, forwarding and memory costs")
	os.Exit(settings.Run(s, os.Args[1:], func() {}, run))
}

func run() error {
	routePacket()
	tableRebuild()
	agentPacket()
	agentFlow()
	if err := forwardRatio(); err != nil {
		return err
	}
	directCodec()
	return directRatio()
}

// report prints the results of a benchmark as key=value pairs.
func report(name, format string, args ...any) {
	fmt.Println("Bench Name=" + name + " " + fmt.Sprintf(format, args...))
}
