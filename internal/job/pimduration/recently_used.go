package pimduration

import "container/list"

// recentlyUsed is a map of limited size. A new entry replaces the one that was not used for the longest time.
type recentlyUsed[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	// order holds the entries, the most recently used first.
	order *list.List
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

func newRecentlyUsed[K comparable, V any](limit int) *recentlyUsed[K, V] {
	return &recentlyUsed[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

func (r *recentlyUsed[K, V]) get(key K) (V, bool) {
	element, ok := r.entries[key]
	if !ok {
		var none V
		return none, false
	}
	r.order.MoveToFront(element)
	return element.Value.(*entry[K, V]).value, true
}

func (r *recentlyUsed[K, V]) getOrAdd(key K, create func() V) V {
	if value, ok := r.get(key); ok {
		return value
	}
	if len(r.entries) >= r.limit {
		r.remove(r.order.Back().Value.(*entry[K, V]).key)
	}
	value := create()
	r.entries[key] = r.order.PushFront(&entry[K, V]{key, value})
	return value
}

func (r *recentlyUsed[K, V]) remove(key K) {
	if element, ok := r.entries[key]; ok {
		r.order.Remove(element)
		delete(r.entries, key)
	}
}

// forEach visits all entries, the most recently used first.
func (r *recentlyUsed[K, V]) forEach(visit func(key K, value V)) {
	for element := r.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry[K, V])
		visit(e.key, e.value)
	}
}
