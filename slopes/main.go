// Program slopes measures how the costs of balancers, agents and the platform grow
// with the size of the cluster and other quantities. It prints the data points and
// the line fitted to each curve, and draws the curves. Package virtual simulates the
// control plane; package workload provides the routing tables and flows.
package main

import (
	"fmt"
	"os"
	"sync"

	"bramleyfall.example/bramleyfall/settings"
)

func main() {
	s := settings.New("slopes", "measures how the costs of each role grow and draws the curves")
	folder := s.String("out", "out/slopes", "folder for the curves")
	largest := s.Int("largest", 3600, "maximum number of balancers to simulate")
	pointsFile := s.String("points", "", "CSV file of data points (Role,Against,X,Quantity,Value) to draw instead of measuring")
	os.Exit(settings.Run(s, os.Args[1:], func() {}, func() error {
		if *pointsFile != "" {
			return drawPoints(*folder, *pointsFile)
		}
		return run(*folder, *largest)
	}))
}

func run(folder string, largest int) error {
	curves := &curveSet{}
	// Processor times and heap sizes are measured first, while nothing else runs.
	routingTables(curves)
	flowFilters(curves)
	datagramCodec(curves)
	memberMemory(curves)
	configurationMemory(curves)
	var group sync.WaitGroup
	for _, measure := range []func(*curveSet){
		func(curves *curveSet) { clusterSizes(curves, largest) }, heartbeatCosts, churnCosts, datagramLoss, regionPartition, pullSizes, platformLoad,
	} {
		group.Go(func() { measure(curves) })
	}
	group.Wait()
	return curves.output(folder)
}

// drawPoints prints and draws the curves of the data points in a CSV file.
func drawPoints(folder, file string) error {
	curves := &curveSet{}
	if err := curves.readCSV(file); err != nil {
		return err
	}
	return curves.output(folder)
}

// output prints the curves and draws them into folder.
func (c *curveSet) output(folder string) error {
	c.print()
	if err := c.draw(folder); err != nil {
		return err
	}
	fmt.Println("Slopes Curves=" + folder)
	return nil
}
