// Command standin plays the cases of the review: it starts a scheduler as the deploy file says, stands in for
// clients, disk servers and discovery, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken reports that a rule was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(rec *record, trouble bool) error{
	"short-length":   shortLength,
	"sends-and-goes": sendsAndGoes,
	"slow-discovery": slowDiscovery,
	"held-up":        heldUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		rec.add("the rule held")
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		rec.add("%v", err)
		fmt.Println(err)
		os.Exit(1)
	default:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	}
}
