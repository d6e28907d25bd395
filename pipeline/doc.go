// Package pipeline takes requests through their stages: admit, identify, claim, choose, dispatch, relay, bill. It serves
// chat completions, calls of plain services and requests of routes, each with the stages that it needs.
package pipeline
