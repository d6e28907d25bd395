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
	return b.String()
}
