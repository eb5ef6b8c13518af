// Command wigeonspindled runs a host of the query tier on the users' platform.
package main

import (
	"os"

	"wigeonspindle.example/wigeonspindle/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
