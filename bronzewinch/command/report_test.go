package command_test

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReportPage guards against a page that loads other files, runs scripts,
// renders a name as markup, or is written to the terminal although -file is set.
func TestReportPage(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	status, out, errs := r.run(context.Background(), "report burn -o html -file DIR/burn.html"+useContexts)
	is.Equal(errs, "")
	is.Equal(status, 0)
	is.Equal(out, "")
	data, err := os.ReadFile(r.dir + "/burn.html")
	is.NoErr(err)
	page := string(data)
	for _, wrong := range []string{"<script", "http:", "https:", "src=", "@import", "<link", "<b>backend", "NaN", "Inf", "ZgotmplZ"} {
		if strings.Contains(page, wrong) {
			t.Errorf("the page contains %q", wrong)
		}
	}
	for _, part := range []string{"&lt;b&gt;backend", "overspent by 1900%", "fast, slow", "<code>r0</code>", `url(#over)`, "<polyline"} {
		if !strings.Contains(page, part) {
			t.Errorf("the page lacks %q", part)
		}
	}
	is.Equal(strings.Count(page, "<svg"), strings.Count(page, "</svg>"))
}

// TestTopRestoresTerminal guards against a top that, after Ctrl-C, leaves the
// terminal on the alternate screen or without a cursor, or ends with an error.
func TestTopRestoresTerminal(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	status, out, errs := newRig(t).run(ctx, "top"+useContexts)
	is.Equal(status, 0)
	is.Equal(errs, "")
	is.True(strings.HasSuffix(out, "\x1b[?25h\x1b[?1049l"))
}
