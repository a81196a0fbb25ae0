package aperture

import "time"

const (
	wideningStep     = 1.5         // factor of one widening or narrowing
	wideningInterval = time.Second // minimum interval between two widenings, so that the first one takes effect before the second
	lowLoadFraction  = 0.25        // of Config.WidenThreshold; load is low if a smaller fraction of jobs is delayed
	maxWaitMultiple  = 8           // maximum of widening.waitMultiple
	undoWindowWaits  = 4           // a narrowing is undone by a widening within this multiple of the required period after it
)

// widening adjusts the factor by which load widens the subset.
type widening struct {
	factor       float64
	widenedAt    time.Duration // time of the last widening; 0: none
	narrowedAt   time.Duration // time of the last narrowing; 0: none
	lowLoadSince time.Duration // start of the current period of low load
	waitMultiple float64       // required period of low load before a narrowing, in multiples of Config.Retention
}

// wideningChange is the result of adjust.
type wideningChange uint8

const (
	unchanged wideningChange = iota
	widened
	narrowed
)

// reset resets the factor. It is called while the subset is the whole fleet.
func (w *widening) reset(now time.Duration) {
	w.factor = 1
	w.lowLoadSince = now
}

// adjust increases the factor if the fraction of delayed jobs has reached the threshold, and decreases it after a period of low
// load. The required period doubles each time a widening undoes a narrowing, so that the subset stays wide if the load is near
// the threshold. allSelected means that all ready workers are selected, so that widening has no effect.
func (w *widening) adjust(now time.Duration, delayed float64, allSelected bool, config *Config) wideningChange {
	wait := time.Duration(w.waitMultiple * float64(config.Retention))
	lowLoadTime := now - w.lowLoadSince
	switch {
	case delayed >= config.WidenThreshold:
		w.lowLoadSince = now
		return w.widen(now, wait, allSelected, config)
	case delayed >= lowLoadFraction*config.WidenThreshold:
		w.lowLoadSince = now
	case w.factor > 1 && lowLoadTime >= wait:
		w.factor = max(w.factor/wideningStep, 1)
		w.narrowedAt = now
		w.lowLoadSince = now
		return narrowed
	case w.factor == 1 && w.waitMultiple > 1 && lowLoadTime >= undoWindowWaits*wait:
		w.waitMultiple = 1
	}
	return unchanged
}

// widen increases the factor, unless all ready workers are selected, the last widening is too recent, or the factor is at its
// maximum.
func (w *widening) widen(now, wait time.Duration, allSelected bool, config *Config) wideningChange {
	tooSoon := w.widenedAt > 0 && now-w.widenedAt < wideningInterval
	if allSelected || tooSoon || w.factor >= config.MaxWidening {
		return unchanged
	}
	if w.narrowedAt > 0 && now-w.narrowedAt < undoWindowWaits*wait {
		w.waitMultiple = min(2*w.waitMultiple, maxWaitMultiple)
	}
	w.factor = min(wideningStep*w.factor, config.MaxWidening)
	w.widenedAt = now
	return widened
}
