package main

import (
	"context"
	"fmt"
	"net/http"
)

// optionsRequests is the number of requests of the case options.
const optionsRequests = 10

// playOptions: a client asks for OPTIONS * with a valid key. The rule MIXED: a success comes with a replica's seal. Without the disruption, the
// client asks for a path of a route.
func playOptions(s *stage) (broken bool, err error) {
	s.publish()
	c := newCrowd()
	for i := range plainReplicas {
		r := &replica{s: s, id: fmt.Sprintf("i-app%d", i), service: plainService, zone: zones[i], slots: plainSlots, onRun: func(x run) {
			c.ran.Add(1)
			s.note("replica %s runs %s", x.replica, x.attempt)
		}}
		if err := r.listen(); err != nil {
			return false, err
		}
	}
	if err := s.addMachines(1); err != nil {
		return false, err
	}
	without := 0
	for n := range optionsRequests {
		r := &request{method: http.MethodOptions, path: "/cufi504/a", attempt: fmt.Sprintf("o-%d", n), deadline: ordinaryDeadline}
		if s.trouble {
			r.path = "*"
		}
		a := ask(context.Background(), s.machines[0], r)
		s.note("client sends %s %s as %s: %v, seal %t", r.method, r.path, r.attempt, a, a.seal)
		if a.status >= 200 && a.status < 300 && !a.seal {
			without++
		}
	}
	s.note("%d of %d answers are a success without a replica's seal; %d runs", without, optionsRequests, c.ran.Load())
	return without > 0, nil
}
