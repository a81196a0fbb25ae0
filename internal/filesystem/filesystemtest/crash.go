package filesystemtest

import (
	"bytes"
	"maps"
	"slices"
)

// maxPendingChanges is the maximum number of unsynced name changes for which AfterPowerLoss can be called: it returns at least
// one disk for each subset of them.
const maxPendingChanges = 8

// AfterKill returns the disk after a kill of the process at this time. It contains all written data, durable or not.
func (d *Disk) AfterKill() *Disk { return New(d.Files()) }

// AfterPowerLoss returns all states of the disk that are possible after a power failure at this time. Of data that was written
// but not synced, any prefix may be present, or zeros instead of the content. Of changes of names that were not synced, any
// subset may be lost.
func (d *Disk) AfterPowerLoss() []*Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) > maxPendingChanges {
		panic("too many unsynced changes of names to return a disk for each subset")
	}
	var disks []*Disk
	for kept := range 1 << len(d.pending) {
		names := maps.Clone(d.durable)
		for i, change := range d.pending {
			if kept>>i&1 != 0 {
				change.apply(names)
			}
		}
		disks = append(disks, disksWithContents(names)...)
	}
	return disks
}

// disksWithContents returns a disk for each combination of possible contents of the files.
func disksWithContents(names map[string]*inode) []*Disk {
	disks := []*Disk{New(nil)}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		var extended []*Disk
		for _, content := range names[path].possibleContents() {
			for _, disk := range disks {
				other := New(disk.Files())
				other.put(path, content)
				extended = append(extended, other)
			}
		}
		disks = extended
	}
	return disks
}

// possibleContents returns the contents that a file may have after a power failure.
func (f *inode) possibleContents() [][]byte {
	if bytes.Equal(f.content, f.durable) {
		return [][]byte{f.durable}
	}
	contents := [][]byte{f.durable, make([]byte, len(f.content))}
	from := 0
	if bytes.HasPrefix(f.content, f.durable) {
		from = len(f.durable) + 1
	}
	for size := from; size <= len(f.content); size++ {
		contents = append(contents, f.content[:size])
	}
	return contents
}
