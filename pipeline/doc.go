// Package pipeline connects the stages that a request passes: admit, identify, claim, choose, dispatch, relay, bill.
package pipeline
