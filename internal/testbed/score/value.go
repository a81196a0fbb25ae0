package score

import "math"

// Value is the value requested and earned, and the shares of it that make up the mix.
type Value struct {
	Requested   float64    `json:"asked"`
	Earned      float64    `json:"earned"`
	Whole       float64    `json:"whole"`
	Worst10     float64    `json:"worst_10s"`
	Worst10At   float64    `json:"worst_10s_at"` // the start of that window
	WorstClass  GroupShare `json:"worst_class"`
	WorstTenant GroupShare `json:"worst_tenant"` // within its quota
	Mix         float64    `json:"mix"`          // 0.40 Whole + 0.15 Worst10 + 0.20 WorstClass + 0.25 WorstTenant
}

// GroupShare is a share of a class or a tenant.
type GroupShare struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// The weights of the mix.
const (
	weightWhole       = 0.40
	weightWorst10s    = 0.15
	weightWorstClass  = 0.20
	weightWorstTenant = 0.25
)

const worstWindowSeconds = 10

// value computes the Value of a result from its groups and series.
func (r *Result) value() Value {
	value := Value{Requested: r.Whole.Requested, Earned: r.Whole.Earned, Whole: r.Whole.EarnedShare}
	value.Worst10, value.Worst10At = worstWindow(r.Seconds.DueValue, r.Seconds.DueValueEarned, int(math.Ceil(r.Length)))
	value.WorstClass = worstGroup(r.Classes, value.Whole, func(group *Group) (requested, share float64) {
		return group.Requested, group.EarnedShare
	})
	value.WorstTenant = worstGroup(r.Tenants, value.Whole, func(group *Group) (requested, share float64) {
		return group.RequestedWithinQuota, group.EarnedShareWithinQuota
	})
	value.Mix = weightWhole*value.Whole + weightWorst10s*value.Worst10 +
		weightWorstClass*value.WorstClass.Value + weightWorstTenant*value.WorstTenant.Value
	return value
}

// worstWindow returns the smallest share of value earned in any window of 10 s that begins at a whole second, and the start
// of that window. A shorter run is one window. Windows in which nothing was requested are ignored.
func worstWindow(requested, earned Series, length int) (worst, start float64) {
	length = min(length, len(requested))
	found := false
	for from := 0; from == 0 || from+worstWindowSeconds <= length; from++ {
		to := min(from+worstWindowSeconds, length)
		sum := requested[from:to].Sum()
		if sum <= 0 {
			continue
		}
		if inWindow := share(earned[from:to].Sum(), sum); !found || inWindow < worst {
			worst, start, found = inWindow, float64(from), true
		}
	}
	return worst, start
}

// worstGroup returns the group with the smallest share among those that requested something, or the share of the whole if
// there is none.
func worstGroup(groups []Group, whole float64, valueOf func(*Group) (requested, share float64)) GroupShare {
	worst := GroupShare{Value: whole}
	for i := range groups {
		requested, share := valueOf(&groups[i])
		if requested > 0 && (worst.Name == "" || share < worst.Value) {
			worst = GroupShare{Name: groups[i].Name, Value: share}
		}
	}
	return worst
}
