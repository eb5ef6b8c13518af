package loader

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTicksPerSecond is the unit of processor times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// Usage is the resource usage of processes.
type Usage struct {
	CPUTime       time.Duration // CPUTime is the sum of user and system time.
	ResidentBytes int           // ResidentBytes is the resident set size.
}

// ReadUsage sums the resource usage of the processes with the given IDs.
func ReadUsage(pids []int) (Usage, error) {
	var usage Usage
	for _, pid := range pids {
		// Fields are counted after the program name in parentheses, which may contain spaces.
		ticks, err := sumFields(fmt.Sprintf("/proc/%d/stat", pid), ")", 11, 12)
		if err != nil {
			return usage, err
		}
		pages, err := sumFields(fmt.Sprintf("/proc/%d/statm", pid), "", 1)
		if err != nil {
			return usage, err
		}
		usage.CPUTime += time.Duration(ticks) * time.Second / clockTicksPerSecond
		usage.ResidentBytes += pages * os.Getpagesize()
	}
	return usage, nil
}

// LoopbackBytes returns the bytes sent on the loopback interface, including headers.
func LoopbackBytes() (int, error) { return sumFields("/proc/net/dev", "lo:", 8) }

// sumFields sums the fields of a file at the given positions after the last occurrence of
// marker.
func sumFields(path, marker string, indexes ...int) (int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrap(err, "read usage")
	}
	text := string(data)
	if at := strings.LastIndex(text, marker); marker != "" && at >= 0 {
		text = text[at+len(marker):]
	}
	columns, sum := strings.Fields(text), 0
	for _, index := range indexes {
		if index >= len(columns) {
			return 0, errors.Newf("read usage: %s has %d fields", path, len(columns))
		}
		value, err := strconv.Atoi(columns[index])
		if err != nil {
			return 0, errors.Wrapf(err, "read usage: %s", path)
		}
		sum += value
	}
	return sum, nil
}
