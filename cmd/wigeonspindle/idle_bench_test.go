package main_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTicks is the unit of processor times in the process file system, per second.
const clockTicks = 100

// BenchmarkIdle measures what a host process spends on control alone, without callers, by
// the number of hosts in its cell. Every host owns about five targets.
func BenchmarkIdle(b *testing.B) {
	for _, hosts := range []int{5, 15, 30} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := startSized(b, hosts, hosts*5/2)
			time.Sleep(10 * time.Second) // Leases and links have settled.
			const window = 10 * time.Second
			for b.Loop() {
				before, bytes, calls := f.processorTime(b), loopbackBytes(b), f.counts(b).Store.Total()
				time.Sleep(window)
				seconds := window.Seconds() * float64(hosts)
				b.ReportMetric(100*(f.processorTime(b)-before).Seconds()/seconds, "%core/host")
				b.ReportMetric(float64(loopbackBytes(b)-bytes)/seconds, "bytes/s/host")
				b.ReportMetric(float64(f.counts(b).Store.Total()-calls)/window.Seconds(), "storecalls/s")
				b.ReportMetric(f.memory(b)/float64(hosts), "MB/host")
			}
		})
	}
}

// processorTime sums the processor time of the hosts.
func (f *fleet) processorTime(b *testing.B) time.Duration {
	ticks := 0
	for _, host := range f.hosts {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", host.command.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
		for _, field := range fields[12:14] { // User and system time.
			ticks += number(b, field)
		}
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// memory sums the resident memory of the hosts in megabytes.
func (f *fleet) memory(b *testing.B) float64 {
	pages := 0
	for _, host := range f.hosts {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", host.command.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		pages += number(b, strings.Fields(string(data))[1])
	}
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}

// loopbackBytes returns the bytes sent on the loopback interface, headers included.
func loopbackBytes(b *testing.B) int {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		b.Fatal(err)
	}
	_, counts, _ := strings.Cut(string(data), "lo:")
	return number(b, strings.Fields(counts)[8])
}

func number(b *testing.B, text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		b.Fatal(err)
	}
	return value
}
