package report

import (
	"fmt"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

// Sizes of a strip.
const (
	maxStripColumns            = 240
	stripShades                = 8
	stripTopEdge        pixels = 8
	stripHeight                = 320 // intended height of all lines, from which that of a line is derived
	minStripLineHeight         = 8
	maxStripLineHeight         = 22
	manyStripLines             = 100 // with more lines than this, each has manyStripLineHeight
	manyStripLineHeight pixels = 3
	stripTickHeight            = 14 // room for the label of a line
)

// strip shows the occupancy of workers over time, with a line for each worker or for several with consecutive numbers.
type strip struct {
	ID, Title, Description           string
	Remark                           string
	Width, Height, LeftEdge, TopEdge pixels
	ScaleX, ScaleY                   string // width and height of a cell
	Levels                           []stripLevel
	XTicks, YTicks                   []tick
	Bands                            []band
	AreaW, AreaH                     pixels
}

// stripLevel is all cells of one shade, drawn as one path in units of cells.
type stripLevel struct {
	Class, D, Name string
}

// Bottom returns the lower border of the area. The template calls it.
func (s *strip) Bottom() pixels { return s.TopEdge + s.AreaH }

// TextY returns the baseline of the horizontal axis's labels. The template calls it.
func (s *strip) TextY() pixels { return s.Bottom() + 16 }

// stripGrid is the occupancy in the cells of a strip. A cell stands for a line's workers in some seconds.
type stripGrid struct {
	lines           []score.StripLine
	columns         int
	cellsPerColumn  int     // cells of the result in one column
	secondsInColumn float64 // length of a column
}

// newStripGrid returns the grid of an occupancy, with no columns if there are no figures.
func newStripGrid(occupancy *score.Occupancy) *stripGrid {
	cells := 0
	for i := range occupancy.Strip {
		cells = max(cells, len(occupancy.Strip[i].Use))
	}
	perColumn := max(1, divideUp(cells, maxStripColumns))
	return &stripGrid{
		lines:           occupancy.Strip,
		columns:         divideUp(cells, perColumn),
		cellsPerColumn:  perColumn,
		secondsInColumn: occupancy.CellSeconds * float64(perColumn),
	}
}

// strip draws the occupancy of workers. It returns nil if there are no figures.
func (t *timeline) strip(occupancy *score.Occupancy) *strip {
	grid := newStripGrid(occupancy)
	if grid.columns == 0 {
		return nil
	}
	lineHeight := grid.lineHeight()
	strip := &strip{
		ID: "strip", Title: "Occupancy of workers over time",
		Width: plotWidth, LeftEdge: plotLeftEdge, TopEdge: stripTopEdge,
		AreaW: plotWidth - plotLeftEdge - plotRightMargin, AreaH: lineHeight * pixels(len(grid.lines)),
	}
	strip.Height = strip.Bottom() + plotBottomMargin
	columnWidth := strip.AreaW / pixels(grid.columns)
	strip.ScaleX, strip.ScaleY = strconv.FormatFloat(float64(columnWidth), 'f', 4, 64), lineHeight.String()
	strip.Levels = grid.levels()
	xScale := scale{
		high: grid.secondsInColumn * float64(grid.columns),
		from: strip.LeftEdge, to: strip.LeftEdge + strip.AreaW,
	}
	strip.XTicks = xScale.ticks(maxXTicks, formatTick)
	strip.YTicks = grid.lineTicks(strip, lineHeight)
	for i, fault := range t.drawnFaults() {
		strip.Bands = append(strip.Bands, band{X: xScale.at(fault.On), Text: fmt.Sprintf("%d. %s", i+1, fault.Text)})
	}
	if workers := divideUp(len(occupancy.Workers), len(grid.lines)); workers > 1 {
		strip.Remark = fmt.Sprintf("each line up to %d consecutive workers", workers)
	}
	strip.Description = fmt.Sprintf("%s in %s, each cell %s. The fleet's occupancy is %s; the busiest, w-%d, has %s.",
		plural(len(occupancy.Workers), "worker", "workers"), plural(len(grid.lines), "line", "lines"),
		formatSeconds(grid.secondsInColumn), formatPercent(occupancy.Whole), occupancy.BusiestWorker,
		formatPercent(occupancy.Busiest))
	return strip
}

// lineHeight returns the height of one line.
func (g *stripGrid) lineHeight() pixels {
	if len(g.lines) > manyStripLines {
		return manyStripLineHeight
	}
	return pixels(min(max(minStripLineHeight, stripHeight/len(g.lines)), maxStripLineHeight))
}

// shade returns the shade of a cell from 0, idle, to stripShades-1, or stripShades if no worker was up.
func (g *stripGrid) shade(line, column int) int {
	use := g.lines[line].Use
	from, to := min(column*g.cellsPerColumn, len(use)), min((column+1)*g.cellsPerColumn, len(use))
	sum, count := 0.0, 0
	for _, value := range use[from:to] {
		if value >= 0 {
			sum += value
			count++
		}
	}
	if count == 0 {
		return stripShades
	}
	return min(int(sum/float64(count)*stripShades), stripShades-1)
}

// levels draws the cells of each shade. Idle cells are not drawn: the background shows them.
func (g *stripGrid) levels() []stripLevel {
	paths := make([]strings.Builder, stripShades+1)
	for line := range g.lines {
		for column := 0; column < g.columns; {
			shade, from := g.shade(line, column), column
			for column < g.columns && g.shade(line, column) == shade {
				column++
			}
			if shade > 0 {
				fmt.Fprintf(&paths[shade], "M%d %dh%dv1h-%dz", from, line, column-from, column-from)
			}
		}
	}
	levels := make([]stripLevel, 0, len(paths))
	for shade := range paths {
		name := fmt.Sprintf("%d to %d%%", shade*100/stripShades, (shade+1)*100/stripShades)
		if shade == stripShades {
			name = "not up"
		}
		levels = append(levels, stripLevel{"h" + strconv.Itoa(shade), paths[shade].String(), name})
	}
	return levels
}

// lineTicks labels as many lines as there is room for.
func (g *stripGrid) lineTicks(s *strip, lineHeight pixels) []tick {
	var ticks []tick
	every := max(1, divideUp(len(g.lines)*stripTickHeight, int(s.AreaH)))
	for line := 0; line < len(g.lines); line += every {
		middle := s.TopEdge + (pixels(line)+0.5)*lineHeight
		ticks = append(ticks, tick{middle, fmt.Sprint("w-", g.lines[line].First)})
	}
	return ticks
}
