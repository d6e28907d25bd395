// Package declare reads the operators' YAML declarations, validates them as one set and encodes it for publication.
package declare
