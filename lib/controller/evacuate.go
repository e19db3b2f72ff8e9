package controller

import (
	"maps"
	"time"

	"bronzewinch.dev/lib/id"
)

// evacuations is the set of zones that the operators request to evacuate. It is
// immutable; each change makes a new set. The links read it before each start, so it
// takes effect without a cycle.
type evacuations map[id.Zone]struct{}

// updateEvacuations applies changes of the requests to evacuate zones. With all, the
// zones that are not among them are taken back.
func (s *session) updateEvacuations(changes map[id.Zone]bool, all bool) {
	old := s.evacuatedZones()
	next := make(evacuations)
	if !all {
		maps.Copy(next, old)
	}
	for zone, requested := range changes {
		if requested {
			next[zone] = struct{}{}
		} else {
			delete(next, zone)
		}
	}
	if !maps.Equal(old, next) {
		s.evacuations.Store(&next)
	}
}

func (s *session) evacuatedZones() evacuations {
	if e := s.evacuations.Load(); e != nil {
		return *e
	}
	return nil
}

// mayStartIn reports whether a start may be sent to a worker of a zone: the zone is not
// evacuated, and a request to do so that is not known yet is so recent that the start
// reaches the worker in time.
func (s *session) mayStartIn(zone id.Zone) bool {
	if _, ok := s.evacuatedZones()[zone]; ok {
		return false
	}
	limit := s.controller.config.MaxEvacuationDelay
	return limit == 0 || s.configAge() <= maxConfigAgeToStart(limit)
}

// maxConfigAgeToStart returns the age of the configuration up to which starts are sent
// if none may reach a worker later than limit after a change.
func maxConfigAgeToStart(limit time.Duration) time.Duration { return max(0, limit-orderTimeout) }
