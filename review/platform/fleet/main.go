// Command fleet runs hosts of the project as processes beside stand-ins of the store, replicas and callers, brings
// about the disruption of one case of the review, and checks the rule of the case.
//
//	fleet CASE BINARY RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 in
// the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){"poison": poison, "blip": blip}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const couldNotRun = 2
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE BINARY RECORD")
		return couldNotRun
	}
	w, err := newWorld(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer w.close()
	broken, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	case broken:
		return 1
	}
	return 0
}
