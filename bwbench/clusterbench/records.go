package clusterbench

import (
	"fmt"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/token"
)

// The measured deployment has the size that is expected in two years.
const (
	zoneCount    = 6
	rackSize     = 6
	accountCount = 42
	backendCount = 50
	// Every cpuOnlyEvery-th worker of a zone has no accelerators. With two on each
	// of the others, 960 workers have 1,800 accelerators.
	cpuOnlyEvery = 16
)

func zoneName(n int) id.Zone { return id.Zone(fmt.Sprintf("zone-%d", n)) }

func accountName(n int) string { return fmt.Sprintf("team-%02d", n) }

// region returns the region of a zone.
func region(zone int) string { return fmt.Sprintf("region-%d", zone%2) }

// records returns the configuration of a deployment with a number of workers.
func records(workers int, operators token.Token) []operator.File {
	files := []operator.File{
		{Name: "operator.toml", Text: fmt.Sprintf("[[record]]\nschema = \"v2\"\nkind = \"operator\"\nname = \"bench\"\ntokens = [{ sha256 = %q }]\n", operators.Hash())},
		{Name: "policy.toml", Text: "[[record]]\nschema = \"v2\"\nkind = \"policy\"\nname = \"placement\"\nmaxBypass = 16\ncheckpointGrace = \"1s\"\nweights = { completion = 1, fragmentation = 1 }\nguard = { rackLoss = true }\n"},
		{Name: "objectives.toml", Text: "[[record]]\nschema = \"v2\"\nkind = \"objective\"\nname = \"in-force\"\nindicator = \"configInForce\"\ntarget = 0.999\nwindow = \"720h\"\nbound = { time = \"11s\" }\n"},
		serviceFile(),
	}
	for n := range accountCount {
		files = append(files, accountFile(n, 0))
	}
	for z := range zoneCount {
		files = append(files, zoneFile(z, workers))
		if workers >= zoneCount*rackSize*3 { // protection against the loss of a rack needs spare racks
			files = append(files, guaranteeFile(z))
		}
	}
	return files
}

// accountFile returns the record of an account. The version is part of its note,
// so that the records of two versions differ.
func accountFile(n, version int) operator.File {
	hash := token.New(accountName(n)).Hash()
	return operator.File{Name: accountName(n) + ".toml", Text: fmt.Sprintf(`[[record]]
schema = "v2"
kind = "account"
name = %q
note = "Version %d of the record of a team that runs jobs in all zones."
weight = 2
tokens = [{ sha256 = %q }]
requests = { perSecond = 400, concurrency = 200, guaranteedSlots = 4 }
`, accountName(n), version, hash)}
}

func guaranteeFile(zone int) operator.File {
	return operator.File{Name: fmt.Sprintf("guarantee-%d.toml", zone), Text: fmt.Sprintf(`[[record]]
schema = "v2"
kind = "guarantee"
account = %q
name = "pair"
count = 1
zones = [%q]
shape = { workers = 2, locality = "rack", perWorker = { accelerators = 2, cores = 4, memory = "16GiB" } }
`, accountName(zone), zoneName(zone))}
}

func serviceFile() operator.File {
	var b strings.Builder
	b.WriteString("[[record]]\nschema = \"v2\"\nkind = \"service\"\nname = \"scorer\"\ntimeout = \"20s\"\nmaxRequest = \"4MiB\"\nmaxAnswer = \"4MiB\"\nperBackend = { slots = 8, connections = 64 }\nbackends = [\n")
	for n := range backendCount {
		fmt.Fprintf(&b, "  { name = \"scorer-%d\", address = \"127.0.0.1:%d\", zone = %q },\n", n, 22000+n, zoneName(n%zoneCount))
	}
	b.WriteString("]\n")
	return operator.File{Name: "service.toml", Text: b.String()}
}

// zoneFile returns the record of a zone with its share of the workers.
func zoneFile(zone, workers int) operator.File {
	var b strings.Builder
	fmt.Fprintf(&b, "[[record]]\nschema = \"v2\"\nkind = \"zone\"\nname = %q\nregion = %q\n", zoneName(zone), region(zone))
	count := 0
	for n := zone; n < workers; n += zoneCount {
		if count%rackSize == 0 {
			if count > 0 {
				b.WriteString("]\n")
			}
			fmt.Fprintf(&b, "\n[[record.racks]]\nname = \"%s-r%d\"\nperWorker = { accelerators = 2, cores = 32, memory = \"128GiB\" }\nworkers = [\n",
				zoneName(zone), count/rackSize)
		}
		resources := ""
		if count%cpuOnlyEvery == cpuOnlyEvery-1 {
			resources = ", perWorker = { accelerators = 0, cores = 32, memory = \"128GiB\" }"
		}
		fmt.Fprintf(&b, "  { name = \"%s-w%d\", address = \"127.0.0.1:%d\"%s },\n", zoneName(zone), count, 23000+n, resources)
		count++
	}
	b.WriteString("]\n")
	return operator.File{Name: fmt.Sprintf("zone-%d.toml", zone), Text: b.String()}
}

// jobFile returns the record of a job whose tasks use one core each.
func jobFile(account int, zone id.Zone, tasks int) operator.File {
	return operator.File{Name: "job.toml", Text: fmt.Sprintf(`[[record]]
schema = "v2"
kind = "job"
name = "fill"
account = %q
zone = %q
declaredRun = "6h"
checkpointEvery = "10m"
program = "bench/run"
shape = { workers = %d, locality = "zone", perWorker = { accelerators = 0, cores = 1, memory = "1GiB" } }
`, accountName(account), zone, tasks)}
}
