// Command standin2 plays the clients, the disk servers, discovery and the platform of the cases of the second
// review. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// trouble reports whether the case's disruption is on.
var trouble = os.Getenv("TROUBLE") != "0"

// maxTime bounds a case.
const maxTime = 110 * time.Second

var cases = map[string]func(*recorder) error{
	"order":  orderCase,
	"late":   lateCase,
	"length": lengthCase,
	"short":  shortCase,
	"slow":   slowCase,
	"end":    endCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	runtime.LockOSThread() // the scheduler ends with the thread that started it: with the main one
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		giveUp()
		os.Exit(2)
	}()
	if err := cases[os.Args[1]](rec); err != nil {
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	}
	broken := rec.breaks()
	for i, text := range broken {
		if i < 10 {
			fmt.Println("broken:", text)
		}
	}
	rec.logf("%d breaks", len(broken))
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}
