// Package object defines the objects that operators declare: failure domains, services, models, versions, teams,
// session policies, cascades and rollouts. Objects refer to each other by name.
package object
