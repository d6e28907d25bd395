// Package ctl implements the commands of bramleyctl.
package ctl
