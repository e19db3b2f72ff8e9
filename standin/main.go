// Command standin runs stand-ins for the platform in one process, for trying out
// entry nodes on one machine. It runs the key-value service, the VM list, and the
// workers and backend servers that a directory of records declares, on their
// declared addresses.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/deployment"
)

// flags holds the command-line flags.
type flags struct {
	records, nodes, listen, vmList string
	runTime, serviceTime           time.Duration
}

func main() {
	var f flags
	flag.StringVar(&f.records, "records", "", "directory with the records whose workers and backend servers are started")
	flag.StringVar(&f.nodes, "nodes", "", "directory with the settings files of the entry nodes, for the VM list")
	flag.StringVar(&f.listen, "listen", "127.0.0.1:23900", "address of the key-value service")
	flag.StringVar(&f.vmList, "vmList", "127.0.0.1:23901", "address of the VM list")
	flag.DurationVar(&f.runTime, "runTime", 10*time.Second, "time that a task runs")
	flag.DurationVar(&f.serviceTime, "serviceTime", 5*time.Millisecond, "time that a backend server takes for a request")
	flag.Parse()
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run runs the stand-ins until the process receives an interrupt or SIGTERM.
func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	records, err := readRecords(f.records)
	if err != nil {
		return err
	}
	d, err := deployment.Start(deployment.Config{
		Records: records, StoreAddress: f.listen, VMListAddress: f.vmList, UseDeclaredAddresses: true, Timer: timer.NewSystem(),
		RunTime:     func(worker.Ref) time.Duration { return f.runTime },
		ServiceTime: func() time.Duration { return f.serviceTime },
	})
	if err != nil {
		return err
	}
	defer d.Close()
	if err := listNodes(d, f.nodes); err != nil {
		return err
	}
	fmt.Printf("key-value service %s, VM list %s, %d workers, %d backend servers\n",
		f.listen, f.vmList, len(d.Workers.Names()), len(d.Backends))
	<-ctx.Done()
	return nil
}

func readRecords(dir string) ([]operator.File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "records", Value: dir, Limit: "a directory with *.toml files",
			Remedy: "give -records, for example examples/cooperative/records"})
	}
	var files []operator.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		files = append(files, operator.File{Name: name, Text: string(data)})
	}
	return files, nil
}

// listNodes adds the entry nodes of a directory of settings files to the VM list.
// It lists them as live whether they run or not, like a platform that notices
// failures late.
func listNodes(d *deployment.Deployment, dir string) error {
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return err
	}
	for _, name := range names {
		s, err := settings.ReadDaemon(name)
		if err != nil {
			return err
		}
		d.VMList.Set(vmlist.VM{Name: string(s.Node.ID), Role: vmlist.Entry, Zone: s.Node.Zone, Address: s.Listen.Peers, State: vmlist.Live})
	}
	return nil
}
