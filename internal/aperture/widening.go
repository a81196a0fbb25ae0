package aperture

import "time"

const (
	wideningStep     = 1.5         // factor of one widening or narrowing
	wideningInterval = time.Second // minimum between two widenings, so that the first one takes effect
	calmFraction     = 0.25        // of Config.WidenThreshold; below it, load is low
	maxRetentions    = 8           // maximum of widening.retentions
	undoneRetentions = 4           // a widening within this number of waits after a narrowing has undone it
)

// widening is the factor by which load widens the subset.
type widening struct {
	factor     float64
	widenedAt  time.Duration // the last widening; 0: none
	narrowedAt time.Duration // the last narrowing; 0: none
	calmSince  time.Duration // last time at which load was not low
	retentions float64       // low load required before a narrowing, in multiples of Config.Retention
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
	w.calmSince = now
}

// adjust increases the factor if the fraction of delayed jobs has reached the threshold, and decreases it after a period of low
// load. That period doubles each time that a narrowing is undone, so that the subset stays wide if the load is near the
// threshold. allSelected means that all ready workers are selected.
func (w *widening) adjust(now time.Duration, delayed float64, allSelected bool, config *Config) wideningChange {
	wait := time.Duration(w.retentions * float64(config.Retention))
	calm := now - w.calmSince
	switch {
	case delayed >= config.WidenThreshold:
		w.calmSince = now
		return w.widen(now, wait, allSelected, config)
	case delayed >= calmFraction*config.WidenThreshold:
		w.calmSince = now
	case w.factor > 1 && calm >= wait:
		w.factor = max(w.factor/wideningStep, 1)
		w.narrowedAt = now
		w.calmSince = now
		return narrowed
	case w.factor == 1 && w.retentions > 1 && calm >= undoneRetentions*wait:
		w.retentions = 1
	}
	return unchanged
}

// widen increases the factor if that is possible.
func (w *widening) widen(now, wait time.Duration, allSelected bool, config *Config) wideningChange {
	tooSoon := w.widenedAt > 0 && now-w.widenedAt < wideningInterval
	if allSelected || tooSoon || w.factor >= config.MaxWidening {
		return unchanged
	}
	if w.narrowedAt > 0 && now-w.narrowedAt < undoneRetentions*wait {
		w.retentions = min(2*w.retentions, maxRetentions)
	}
	w.factor = min(wideningStep*w.factor, config.MaxWidening)
	w.widenedAt = now
	return widened
}
