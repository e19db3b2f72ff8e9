package record_test

import (
	"fmt"

	"bronzewinch.dev/lib/record"
)

func ExampleRecord_Convert() {
	r, err := record.Parse(`
schema = "v1"
kind = "guarantee"
name = "nightly"
account = "skymap"
count = 2
zone = "entoto"
workers = 4
acceleratorsPerWorker = 8
coresPerWorker = 24
memoryGB = 96
near = "rack"
`)
	if err != nil {
		fmt.Println(err)
		return
	}
	newer, err := r.Convert(record.V2)
	fmt.Print(newer.Text(), err)
	// Output:
	// schema = 'v2'
	// kind = 'guarantee'
	// name = 'nightly'
	// account = 'skymap'
	// count = 2
	// zones = ['entoto']
	//
	// [shape]
	// workers = 4
	// locality = 'rack'
	//
	// [shape.perWorker]
	// accelerators = 8
	// cores = 24.0
	// memory = '96GiB'
	// <nil>
}
