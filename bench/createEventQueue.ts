/** Creates a priority queue ordered by time; entries with equal times keep their insertion order. */
export default function createEventQueue<Value>() {
  const heap: { at: number; sequence: number; value: Value }[] = [];
  let nextSequence = 0;

  function isBefore(left: number, right: number): boolean {
    const [a, b] = [heap[left], heap[right]];
    return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
  }

  function swap(left: number, right: number): void {
    [heap[left], heap[right]] = [heap[right], heap[left]];
  }

  function push(at: number, value: Value): void {
    heap.push({ at, sequence: nextSequence, value });
    nextSequence += 1;
    let index = heap.length - 1;
    while (index > 0 && isBefore(index, (index - 1) >> 1)) {
      swap(index, (index - 1) >> 1);
      index = (index - 1) >> 1;
    }
  }

  function pop(): { at: number; value: Value } | undefined {
    if (heap.length === 0) {
      return undefined;
    }
    const top = heap[0];
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      let index = 0;
      let child = getLeastChild(index);
      while (child !== undefined && isBefore(child, index)) {
        swap(index, child);
        index = child;
        child = getLeastChild(index);
      }
    }
    return top;
  }

  function getLeastChild(index: number): number | undefined {
    const left = 2 * index + 1;
    if (left >= heap.length) {
      return undefined;
    }
    return left + 1 < heap.length && isBefore(left + 1, left) ? left + 1 : left;
  }

  return { push, pop };
}
