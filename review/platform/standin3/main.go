// Command standin3 plays the cases of a review. It starts hosts of the project as processes, and plays their clients,
// replicas and the platform's store itself. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit bounds the time of a case.
const limit = 115 * time.Second

// scene is what a case runs with.
type scene struct {
	rec     *recorder
	folder  string // folder is a temporary folder.
	trouble bool
}

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *recorder) at(moment time.Time) string {
	return strconv.FormatFloat(moment.Sub(r.start).Seconds(), 'f', 3, 64)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cases := map[string]func(*scene) int{"headers": playHeaders, "limit": playLimit, "moved": playMoved}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return failed
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s := &scene{rec: &recorder{file: file, start: time.Now()}, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	s.rec.line("case %s, trouble %v", args[0], s.trouble)
	result := make(chan int, 1)
	go func() { result <- cases[args[0]](s) }()
	code := failed
	select {
	case code = <-result:
	case <-time.After(limit):
		s.rec.line("the case did not end in time")
	}
	s.rec.line("exit %d", code)
	return code
}
