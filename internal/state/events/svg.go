package events

import (
	"bufio"
	"fmt"
	"html"
	"io"
	"maps"
	"slices"
	"time"
)

// Dimensions of the image in pixels, and the number of intervals on the time axis.
const (
	imageWidth   = 1400
	laneHeight   = 26
	leftMargin   = 170
	topMargin    = 40
	legendHeight = 22
	legendWidth  = 170
	dotRadius    = 4
	tickCount    = 10
)

// colours maps kinds to the colour and the label of the legend; the last entry holds all kinds not listed before.
var colours = []struct {
	kinds  []Kind
	colour string
	label  string
}{
	{[]Kind{JobAccepted, JobPlaced}, "#9aa5b1", "accepted, placed"},
	{[]Kind{JobStarted}, "#2f6fde", "started"},
	{[]Kind{JobDone}, "#2a9d4a", "done"},
	{[]Kind{JobStopped, JobReclaimed, JobCancelled}, "#e0a100", "stopped, reclaimed, cancelled"},
	{[]Kind{JobRefused, JobUnknown, PromiseBroken, NoticeMissed, ConfigAlarm}, "#d0312d", "refused, unknown, alarm"},
	{[]Kind{OwnerChanged, OwnerLapsed}, "#8338ec", "owner"},
	{[]Kind{ConfigInForce, NoticeIssued, NoticeAcked, StopAnnounced, StopSafe}, "#008b8b", "configuration, notice, stop"},
	{nil, "#444444", "members, workers, log"},
}

// WriteSVG renders the events as a self-contained SVG image with a lane for each host and each worker. The events
// must be in time order, as Merge returns them.
func WriteSVG(w io.Writer, es []Event) error {
	p := svgWriter{out: bufio.NewWriter(w), lanes: lanesOf(es)}
	if len(es) > 0 {
		p.first = es[0].At.Time()
		p.span = max(es[len(es)-1].At.Time().Sub(p.first), time.Millisecond)
	}
	p.writeHeader()
	p.writeAxis()
	for i, n := range p.lanes {
		p.writeLane(i, n)
	}
	for _, e := range es {
		p.writeEvent(e)
	}
	p.printf("</svg>\n")
	if err := p.out.Flush(); err != nil {
		return fmt.Errorf("write SVG: %w", err)
	}
	return nil
}

type svgWriter struct {
	out   *bufio.Writer
	lanes []string
	first time.Time
	span  time.Duration
}

func lanesOf(es []Event) []string {
	hosts, workers := map[string]bool{}, map[string]bool{}
	for _, e := range es {
		if e.Worker == "" {
			hosts[e.Host] = true
		} else {
			workers[e.Worker] = true
		}
	}
	return append(slices.Sorted(maps.Keys(hosts)), slices.Sorted(maps.Keys(workers))...)
}

// printf ignores write errors, since Flush returns the first one.
func (p *svgWriter) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}

func (p *svgWriter) bottom() int {
	return topMargin + len(p.lanes)*laneHeight
}

func (p *svgWriter) writeHeader() {
	height := p.bottom() + 3*legendHeight + topMargin
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		imageWidth, height)
	p.printf(`<rect width="100%%" height="100%%" fill="#ffffff"/>` + "\n")
	for i, c := range colours {
		x := leftMargin + (i%4)*(legendWidth+60)
		y := p.bottom() + legendHeight*(1+i/4)
		p.printf(`<circle cx="%d" cy="%d" r="%d" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
			x, y, dotRadius, c.colour, x+2*dotRadius, y+dotRadius, html.EscapeString(c.label))
	}
}

func (p *svgWriter) writeAxis() {
	for i := range tickCount + 1 {
		at := p.first.Add(p.span * time.Duration(i) / tickCount)
		x := p.x(at)
		p.printf(`<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#e5e5e5"/>`, x, topMargin, x, p.bottom())
		p.printf(`<text x="%.1f" y="%d" text-anchor="middle">%s</text>`+"\n",
			x, topMargin-laneHeight/2, at.UTC().Format("15:04:05.0"))
	}
}

func (p *svgWriter) x(at time.Time) float64 {
	if p.span == 0 {
		return leftMargin
	}
	width := float64(imageWidth - leftMargin - topMargin)
	return leftMargin + width*float64(at.Sub(p.first))/float64(p.span)
}

func (p *svgWriter) y(lane int) int {
	return topMargin + lane*laneHeight + laneHeight/2
}

func (p *svgWriter) writeLane(i int, name string) {
	y := p.y(i)
	p.printf(`<text x="4" y="%d">%s</text>`, y+dotRadius, html.EscapeString(name))
	p.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#f0f0f0"/>`+"\n", leftMargin, y, imageWidth-topMargin, y)
}

func (p *svgWriter) writeEvent(e Event) {
	name := e.Worker
	if name == "" {
		name = e.Host
	}
	title := e.At.Time().UTC().Format(timeLayout) + " " + e.Host + " " + string(e.Kind) + " " + e.Subject()
	p.printf(`<circle cx="%.1f" cy="%d" r="%d" fill="%s"><title>%s</title></circle>`+"\n",
		p.x(e.At.Time()), p.y(slices.Index(p.lanes, name)), dotRadius, colourOf(e.Kind), html.EscapeString(title))
}

func colourOf(k Kind) string {
	for _, c := range colours {
		if c.kinds == nil || slices.Contains(c.kinds, k) {
			return c.colour
		}
	}
	return ""
}
