package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

var tenants = []string{"khyber-society", "mardan-society", "swat-society"}

// newJob returns a job of a class, with the class's time, that runs for a given time on a number of slots.
func newJob(class string, run time.Duration, slots int) *job {
	j := &job{id: newID(), class: class, tenant: tenants[rand.IntN(len(tenants))]}
	j.body = fmt.Sprintf("run=%d;slots=%d;", run.Milliseconds(), slots)
	switch class {
	case "status-check":
		j.budget = 5 * time.Second
	case "recipient-screen":
		j.budget = 12 * time.Second
	case "cash-payout":
		j.budget = 7500 * time.Millisecond
	case "account-credit":
		j.budget = 12 * time.Second
		j.key = newID() + newID()
	}
	return j
}
