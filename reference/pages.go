package reference

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/settings"
)

//go:generate go run ../cmd/bramleyref ../docs

// ResultCodes returns the page about result codes as Markdown.
func ResultCodes() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Generated from package result by ` + "`go generate ./reference`" + `.

Each failed request carries its code in the header ` + "`Bramley-Code`" + `, its name in ` + "`error.code`" + ` of the JSON body, and in
` + "`Bramley-Ran`" + ` whether an endpoint ran it: ` + "`no`, `yes` or `unknown`. `no`" + ` is sent only if no endpoint received the request.
` + "`Retry-After`" + ` says after how many seconds a retry is useful. ` + "`bramleyctl codes`" + ` prints this table.

| code | name | HTTP status | meaning |
|---|---|---|---|
`)
	for _, i := range result.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s |\n", int(i.Code), i.Name, i.Status, i.Text)
	}
	return b.String()
}

// Settings returns the page about the daemon's settings as Markdown. Fields without a flag are left out.
func Settings() string {
	var b strings.Builder
	b.WriteString("# Settings of bramleyd\n\nGenerated from package settings by `go generate ./reference`.\n\n")
	b.WriteString("A flag goes before its environment variable. All settings are checked before any port is opened; the daemon exits\n")
	b.WriteString("with code 2 and names every problem if one is wrong. It exits with 0 after a graceful stop and with 1 after a failure.\n\n")
	b.WriteString("| flag | environment | default | meaning |\n|---|---|---|---|\n")
	t := reflect.TypeOf(settings.Settings{})
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		if tag.Get("long") == "" {
			continue
		}
		def := tag.Get("default")
		switch {
		case tag.Get("required") == "true":
			def = "required"
		case def == "":
			def = "none"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", tag.Get("long"), tag.Get("env"), def, tag.Get("description"))
	}
	b.WriteString(callerLimits)
	return b.String()
}

// callerLimits is the part of the page about the limits that bramleytrail derives.
const callerLimits = `
## Limits of bramleytrail on its callers

These have no flag. The daemon derives them from its settings file, or takes them from the operators' configuration, whose
changes apply to open connections within 0.1 s. See [design/untrusted-clients.md](design/untrusted-clients.md).

| limit | from | default |
|---|---|---|
| request line, header fields (431) | ` + "`max-header-bytes`" + `, each | 65,536 bytes; at most 1 MiB |
| body (413) | ` + "`max-body-bytes`" + ` | 4 MiB |
| time from the first byte of a header section to its end (408) | ` + "`header-timeout-ms`" + ` | 10 s |
| time without a request (closed) | ` + "`idle-timeout-ms`" + ` | 2 min |
| time of a request's arrival (400) | none | 2 min |
| memory of connections, header sections, bodies and requests in flight, at 24 KiB each (503 after 1 s) | ` + "`limits.memory-mb`" + ` | 0.45 of it; for bodies above 64 KiB 0.4 |
| connections of callers | ` + "`limits.file-descriptors`" + ` less 200 | 0.65 of it, at most 3,000 and 0.3 of the memory at 16 KiB each |
| requests in flight (503) | ` + "`limits.file-descriptors`" + ` less 200 | 0.3 of it, at most 1,500 |
| connections to endpoints, in use and idle; idle ones are closed | ` + "`limits.file-descriptors`" + ` less 200 | as many as requests in flight |
| time for which a caller may read nothing of a part of its answer (closed) | none | 10 s |
| time without 1 KiB of progress after which a connection may give way to others | none | 1 s |
| parts of a prompt; further ones in the middle count as one | none | 64 |
| tokens of a prompt, a part or an answer that are believed; the endpoint gets the number as it was sent | none | 16,777,216 |
| models that are counted by their own names, beside those that routes and endpoints name; further ones are counted together | none | 16, of up to 64 bytes |
| bytes of a field of a log line, and of the lines that wait to be written | none | 1,024 and 1 MiB |
| log lines a second about requests and connections refused before they are served | none | 10, after the first 50 |

bramleyd has the same limits on log lines and on the time of reading. These are its own, without a setting:

| limit | value |
|---|---|
| memory of a chat body with its copies (503 after 1 s) | 5 times its size, within the limit on bodies |
| memory of answers that are held, see design/untrusted-clients.md (502 without streaming) | 0.4 of the memory, half of it for one team; 8 MiB for the only request |
| fields of a chat body (400) | 1,024 |
| memory of a connection with TLS | 56 KiB; its handshake may take 10 s |
| connections from daemons of the host list, and from other hosts, of which the oldest is closed | 1,024, and 32 |
| messages above 64 KiB that are read at the same time from them, each within 10 s | 4, and 1 |

## Limits of the ports for readiness and metrics of both daemons

These have no setting, and the readiness of bramleyd is on its port for callers. If all places are taken, the connection that has made no
progress for longest, at least 0.1 s, gives its place to a new one.

| limit | value |
|---|---|
| connections of each port | 64; of bramleytrail 0.02 of ` + "`limits.file-descriptors`" + ` less 200, 8 to 64 |
| request line, header fields (431) | 8,192 bytes, each |
| memory of header sections of each port (503 after 1 s) | 512 KiB |
| time from the first byte of a header section to its end (408) | 3 s |
| time without a request (closed) | 2 min |
| time from the first byte of a response to its end (closed) | 10 s |
`
