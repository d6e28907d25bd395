// Package standin provides fakes of the platform's services and of endpoints, with fault injection, for tests, for the
// demo and for measurements on one machine.
package standin
