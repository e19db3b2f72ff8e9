package settings

import (
	"fmt"
	"reflect"
	"strings"

	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/tomlfile"
)

// Reference returns the text of docs/configuration.md, which is generated from the
// tags of the settings and the types of the records.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceTop)
	b.WriteString("\n## Settings of the daemon\n\nThe daemon reads one file: `bronzewinchd -settings FILE`.\n\n")
	table(&b, reflect.TypeFor[Daemon](), "")
	b.WriteString("\n## Contexts of the command line\n\nThe command line reads `~/.config/bronzewinch/contexts.toml`, " +
		"or the file that `-contexts` or `BRONZEWINCH_CONTEXTS` names.\n\n")
	table(&b, reflect.TypeFor[Contexts](), "")
	b.WriteString(referenceRecords)
	for _, kind := range record.Kinds() {
		fmt.Fprintf(&b, "\n### %s\n\n| v1 | Type | v2 | Type |\n|---|---|---|---|\n", kind)
		v1, v2 := record.Fields(record.V1, kind), record.Fields(record.V2, kind)
		for i := range max(len(v1), len(v2)) {
			b.WriteString("|" + cell(v1, i) + "|" + cell(v2, i) + "|\n")
		}
	}
	return b.String()
}

func cell(fields []record.Field, i int) string {
	if i >= len(fields) {
		return " | "
	}
	return fmt.Sprintf(" `%s` | %s ", fields[i].Name, fields[i].Type)
}

func table(b *strings.Builder, t reflect.Type, prefix string) {
	if prefix == "" {
		b.WriteString("| Field | Type | Default | Limit | Meaning |\n|---|---|---|---|---|\n")
	}
	tomlfile.Fields(t, func(name string, sf reflect.StructField) {
		path := strings.TrimPrefix(prefix+"."+name, ".")
		switch {
		case isTable(sf.Type):
			table(b, sf.Type, path)
		case sf.Type.Kind() == reflect.Map:
			table(b, sf.Type.Elem(), path+".NAME")
		default:
			fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", path, tomlfile.TypeName(sf.Type), defaultOf(sf.Tag), limitOf(sf.Tag), sf.Tag.Get("doc"))
		}
	})
}

func defaultOf(tag reflect.StructTag) string {
	if text, ok := tag.Lookup("default"); ok {
		return "`" + text + "`"
	}
	if tag.Get("required") != "" {
		return "required"
	}
	return "empty"
}

func limitOf(tag reflect.StructTag) string {
	if low, high, ok := strings.Cut(tag.Get("range"), ".."); ok {
		return low + " to " + high
	}
	if names, ok := tag.Lookup("oneof"); ok {
		return strings.Join(strings.Fields(names), " or ")
	}
	return map[string]string{"id": "a name", "address": "IP address and port", "url": "http or https address", "file": "file name, relative to this file"}[tag.Get("check")]
}

const referenceTop = `# Configuration

This page is made from the tables in the code; ` + "`UPDATE_DOCS=1 go test ./settings`" + ` in ` + "`lib`" + ` writes it again.

All files are TOML. Names are camelCase. A field that is not listed is an error. Every mistake of a file is reported at
once, each with its line, the value, the limit and what to do. Names (ids) are 1 to 63 lower-case letters, digits, '-'
and '.', with a letter or digit first and last. A duration is written as "1m30s" and a size as "128GiB", "64MiB",
"16KiB" or "512B".
`

const referenceRecords = `
## Configuration records

A file holds any number of tables ` + "`[[record]]`" + `. Each has ` + "`schema`" + ` ("v1" or "v2"), ` + "`kind`" + ` and ` + "`name`" + `. A record that
changes one in force has the ` + "`baseRevision`" + ` that ` + "`bronzewinch get`" + ` shows. Both schema versions can be read and written at
any time; ` + "`bronzewinch convert`" + ` turns one into the other. Schema v2 says everything that v1 says. Schema v1 has no labels,
notes, fractions of a core, of a GB (2^30 bytes), of a KB (1024 bytes) or of a second, no racks without workers, and one
zone for a guarantee; a conversion that would lose one of these is refused and names the field and the record. The
window of an objective is in whole days in v1, and its bound has at most three decimals.

A guarantee in v2 with several zones holds its shape, ` + "`count`" + ` times, in each of them. A claim then names "NAME.ZONE".
Tokens are given as SHA-256 hashes in lower-case hexadecimal. Each token belongs to one operator or account.
Records of kind job are submitted (` + "`bronzewinch submit`" + `) and are not part of the configuration.

The ` + "`indicator`" + ` of an objective is "urgentStart", "reclaimTime", "wholeAnswers", "configInForce", "completion" or
"fragmentation"; [burn.md](burn.md) defines them. A set has at most one objective for each, and for completion one for
each ` + "`sizeClass`" + `: "small" (up to 2 accelerators), "medium" (up to 8) or "large". ` + "`target`" + ` is the share of good events,
0.5 to 0.99999, over a window of 1 to 31 days. ` + "`bound`" + ` is the limit of a good event: a slowdown (1.001 to 1000) for
completion, a share (0.001 to 1) for fragmentation, a time (1 ms to 24 h; seconds in v1) for the others.
`
