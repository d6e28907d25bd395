// Package standin provides fakes of the platform's services and of endpoints, with fault injection. Tests, the demo and
// measurements on one machine use them in place of a real deployment.
package standin
