// Package reference generates the reference pages in docs/ from the code: declared objects, settings and result codes.
package reference
