// Package declare reads the operators' YAML declarations, checks the whole set together and encodes it for publication.
package declare
