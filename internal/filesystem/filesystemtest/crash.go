package filesystemtest

import (
	"bytes"
	"maps"
	"slices"
)

// maxPendingChanges bounds the changes of names whose subsets are looked at. A test with more makes too many.
const maxPendingChanges = 8

// AfterKill returns the disk that a kill of the process leaves now: all that was written, durable or not.
func (d *Disk) AfterKill() *Disk { return New(d.Files()) }

// AfterPowerLoss returns each disk that a power failure may leave now. Of what was written and not synced, any part from the
// start on may be there, or zeros in its place; of the names that were changed and not synced, any may be as before.
func (d *Disk) AfterPowerLoss() []*Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) > maxPendingChanges {
		panic("too many changes of names for a test of all their subsets")
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

// disksWithContents returns a disk for each combination of the contents that the files may have.
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

// possibleContents returns what a power failure may leave of a file.
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
