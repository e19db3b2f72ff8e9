package job_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

func validSpec() job.Spec {
	return job.Spec{
		Account: "city-lighting",
		Shape: job.Shape{
			Workers:   2,
			PerWorker: unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB},
			Locality:  job.SameRack,
		},
		DeclaredRun: time.Hour,
		Program:     "skymap/render",
	}
}

// TestSpecValidate guards against an invalid job that passes validation and then
// reaches stages that rely on the limits, and against an error that names the
// wrong field.
func TestSpecValidate(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(*job.Spec)
		field string
	}{
		{"valid", func(*job.Spec) {}, ""},
		{"no account", func(s *job.Spec) { s.Account = "" }, "account"},
		{"no workers", func(s *job.Spec) { s.Shape.Workers = 0 }, "workers"},
		{"gang too large", func(s *job.Spec) { s.Shape.Workers = 65 }, "workers"},
		{"negative accelerators", func(s *job.Spec) { s.Shape.PerWorker.Accelerators = -1 }, "accelerators"},
		{"no cores", func(s *job.Spec) { s.Shape.PerWorker.Cores = 0 }, "cores"},
		{"no memory", func(s *job.Spec) { s.Shape.PerWorker.Memory = 0 }, "memory"},
		{"no locality", func(s *job.Spec) { s.Shape.Locality = "" }, "locality"},
		{"two workers with locality worker", func(s *job.Spec) { s.Shape.Locality = job.SameWorker }, "workers"},
		{"no run time", func(s *job.Spec) { s.DeclaredRun = 0 }, "declaredRun"},
		{"negative checkpoint", func(s *job.Spec) { s.CheckpointEvery = -1 }, "checkpointEvery"},
		{"no program", func(s *job.Spec) { s.Program = "" }, "program"},
		{"urgent without claim", func(s *job.Spec) { s.Urgent = true }, "urgent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := validSpec()
			tt.edit(&s)
			err := s.Validate()
			if tt.field == "" {
				is.NoErr(err)
				return
			}
			is.True(problem.Is(err, problem.Invalid))
			is.Equal(problem.As(err).Field, tt.field)
		})
	}
}
