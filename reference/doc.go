// Package reference generates the reference pages in docs/ from the code: declared objects, settings and result
// codes. It also finds the names of all metrics, for a comparison with the metrics page.
package reference
