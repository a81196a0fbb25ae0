package aperture

import "time"

const (
	wideningStep     = 1.5         // factor of one widening, or narrowing
	wideningInterval = time.Second // each widening shows its effect first
	calmFraction     = 0.25        // of Config.WidenThreshold, under which there is no load to speak of
	maxRetentions    = 8           // of calm before a narrowing, where earlier ones were undone
	undoneRetentions = 4           // a widening within so many of these waits undoes a narrowing
)

// widening is the factor by which load widens the subset.
type widening struct {
	factor     float64
	widenedAt  time.Duration // the last widening; 0: none
	narrowedAt time.Duration // the last narrowing; 0: none
	calmSince  time.Duration // the last load to speak of
	retentions float64       // calm before a narrowing, in times of Config.Retention
}

// wideningChange is what adjust has done.
type wideningChange uint8

const (
	unchanged wideningChange = iota
	widened
	narrowed
)

// reset is for a subset that is the whole fleet.
func (w *widening) reset(now time.Duration) {
	w.factor = 1
	w.calmSince = now
}

// adjust widens where the share of delayed jobs has come to the threshold, and narrows after a time of calm. That grows
// each time that a narrowing had to be undone: where load hovers about the threshold, the subset stays wide. allSelected
// reports that widening has nothing to add.
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
