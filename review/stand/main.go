// Program stand plays the cases of the review that are scripts. It starts the
// project's programs as separate processes on loopback addresses, and plays clients,
// servers, routers and the platform's store for them. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*world) error{
	"quiet-agents":  quietAgents,
	"cold-server":   coldServer,
	"new-server":    newServer,
	"trial":         trial,
	"wrong-service": wrongService,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD-FILE")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w) }()
	select {
	case err = <-done:
	case <-signals:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(115 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	code := 0
	switch {
	case err != nil:
		w.rec("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = 2
	case len(w.violations) > 0:
		fmt.Println("broken:", w.violations[0])
		fmt.Println("in all:", len(w.violations))
		code = 1
	default:
		w.rec("the rule held")
		fmt.Println("the rule held")
	}
	w.stop()
	os.Exit(code)
}
