package scenario

func (s *Scenario) checkFleet(check *validator) {
	fleet := &s.Fleet
	check.intInRange("fleet.nodes", fleet.Workers, 1, maxWorkers)
	check.intInRange("fleet.cell_size", fleet.CellSize, 1, maxWorkers)
	check.oneOf("fleet.weights", fleet.Weights, "off", "nominal", "rough")
	check.notEmpty("fleet.zones", len(fleet.Zones))
	for i, zone := range fleet.Zones {
		check.validName(entryKey("fleet.zones", i), zone)
	}
	check.distinct("fleet.zones", fleet.Zones)
	check.notEmpty("fleet.kind", len(fleet.Kinds))
	var names []string
	sum := 0.0
	for i := range fleet.Kinds {
		kind := &fleet.Kinds[i]
		names = append(names, kind.Name)
		sum += kind.Share
		kind.check(check, entryKey("fleet.kind", i))
	}
	check.distinct("fleet.kind", names)
	check.sumsToOne("fleet.kind", sum)
}

func (k *WorkerKind) check(check *validator, key string) {
	check.validName(key+".name", k.Name)
	check.inRange(key+".share", k.Share, 0, 1)
	check.inRange(key+".cores", k.Cores, 0.01, 1024)
	check.inRange(key+".speed", k.Speed, 0.01, 100)
	check.inRange(key+".spread", k.Spread, 0, 1)
	check.intInRange(key+".slots", k.Slots, 1, 4096)
	check.intInRange(key+".queue", k.Queue, 0, 1_000_000)
	check.oneOf(key+".order", k.QueueOrder, "fifo", "backfill")
	check.inRange(key+".cold_from", k.WarmUpCapacity, 0.01, 1)
	check.oneOf(key+".warm_by", k.WarmUpBy, "time", "work")
	check.inRange(key+".error_rate", k.ErrorRate, 0, 1)
	check.intInRange(key+".conns", k.ConnLimit, 1, 1_000_000)
	check.oneOf(key+".expired", k.ExpiredJobs, "run", "drop")
	check.inRange(key+".note_early", k.CallbackEarlyShare, 0, 1)
	check.inRange(key+".note_twice", k.CallbackTwiceShare, 0, 1)
	check.inRange(key+".note_lost", k.CallbackLossShare, 0, 1)
	check.durationsInRange(key+".", []durationLimit{
		{"cold", k.WarmUp, 0, maxDuration},
		{"pause_every", k.PauseEvery, 0, maxDuration},
		{"pause", k.Pause, 0, maxDuration},
		{"handshake", k.Handshake, 0, maxDuration},
		{"idle", k.ConnIdleTimeout, 0, maxDuration},
		{"progress", k.ProgressInterval, 0, maxDuration},
		{"probe_work", k.HealthCheckWork, 0, maxDuration},
		{"accept", k.Accept, 0, maxDuration},
		{"note_late", k.CallbackDelay, 0, maxDuration},
	})
	if k.PauseEvery > 0 && k.Pause == 0 {
		check.report(key+".pause", "expected more than 0s, as pause_every is %v", k.PauseEvery)
	}
	if k.ProgressInterval > 0 {
		check.durationInRange(key+".progress", k.ProgressInterval, minProgressInterval, maxDuration)
	}
}

const minProgressInterval = 10 * millisecond
