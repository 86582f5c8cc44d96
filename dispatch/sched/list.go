package sched

// removeUnordered removes element i of a list in constant time: the last element takes its place, and setIndex
// records the new position of that element. It returns the shorter list, which shares the memory of the given one.
func removeUnordered[T any](list []T, i int, setIndex func(element T, i int)) []T {
	last := len(list) - 1
	list[i] = list[last]
	setIndex(list[i], i)
	clear(list[last:])
	return list[:last]
}
