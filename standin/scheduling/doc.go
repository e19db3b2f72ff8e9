// Package scheduling contains the tests of package scheduler. They run against the
// stand-in for workers, with fault schedules that are generated from seeds. They are
// outside lib, so that lib does not depend on the stand-ins.
package scheduling
