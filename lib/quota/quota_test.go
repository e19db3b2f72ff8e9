package quota_test

import (
	"testing"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/quota"
	"bronzewinch.dev/lib/record"

	"github.com/matryer/is"
)

// TestOrder guards against an account that gets more than its weighted share
// while others wait, and against aged jobs that are overtaken.
func TestOrder(t *testing.T) {
	accounts := map[id.Account]record.Account{"a": {Weight: 1, Quota: 10}, "b": {Weight: 3}}
	cases := []struct {
		name  string
		jobs  []quota.WaitingJob
		order []int
	}{
		{"score", []quota.WaitingJob{{Account: "c", Score: 1}, {Account: "c", Score: 2}}, []int{1, 0}},
		{"share", []quota.WaitingJob{{Account: "a", Score: 1.5}, {Account: "b", Score: 1}}, []int{1, 0}},
		{"aged first", []quota.WaitingJob{{Account: "b", Score: 9}, {Account: "a", Aged: true}, {Account: "b", Aged: true}}, []int{1, 2, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			usage := quota.NewUsage(accounts)
			usage.Add("a", 10)
			usage.Add("b", 10) // a holds half of the accelerators with a quarter of the weight
			is.Equal(quota.Order(usage, c.jobs), c.order)
			is.True(!usage.Allows("a", 1))
			is.True(usage.Allows("a", 0)) // the quota does not apply to jobs without accelerators
			is.True(usage.Allows("b", 100))
		})
	}
}
