package trace

import (
	"bufio"
	"fmt"
	"html"
	"io"
	"time"
)

// Dimensions of the image in pixels.
const (
	imageWidth  = 1000
	leftMargin  = 160
	rightMargin = 120
	barHeight   = 18
	rowHeight   = 24
	topMargin   = 50
	legendWidth = 100
)

// colours holds the colour of each cause.
var colours = map[Cause]string{
	Refused: "#d0312d", NoOwner: "#8338ec", Queued: "#9aa5b1", Preempted: "#e0a100", Unanswered: "#b5651d",
	Drained: "#c9b037", Failed: "#ff6f61", Lost: "#7a1f1f", Worked: "#2a9d4a", Stored: "#008b8b",
}

// WriteSVG renders the account as a self-contained SVG image: a bar for each group, divided by cause, and the share of
// late jobs.
func WriteSVG(w io.Writer, rows []Row) error {
	out := bufio.NewWriter(w)
	// Write errors are kept by the writer, and Flush returns the first one.
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
	printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		imageWidth, topMargin+rowHeight*(len(rows)+1))
	printf(`<rect width="100%%" height="100%%" fill="#ffffff"/>` + "\n")
	for i, c := range Causes {
		x := i * legendWidth
		printf(`<rect x="%d" y="8" width="10" height="10" fill="%s"/><text x="%d" y="17">%s</text>`+"\n", x+4, colours[c], x+18, c)
	}
	longest := time.Duration(1)
	for _, r := range rows {
		longest = max(longest, r.total())
	}
	for i, r := range rows {
		y := topMargin + i*rowHeight
		printf(`<text x="4" y="%d">%s</text>`, y+barHeight-5, html.EscapeString(r.Group))
		x := float64(leftMargin)
		for _, c := range Causes {
			width := float64(imageWidth-leftMargin-rightMargin) * float64(r.Spent[c]) / float64(longest)
			printf(`<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`, x, y, width, barHeight, colours[c])
			x += width
		}
		printf(`<text x="%.1f" y="%d">%d jobs, %d late</text>`+"\n", x+6, y+barHeight-5, r.Jobs, r.Late)
	}
	printf("</svg>\n")
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write SVG: %w", err)
	}
	return nil
}

func (r Row) total() time.Duration {
	sum := time.Duration(0)
	for _, d := range r.Spent {
		sum += d
	}
	return sum
}
