/** A priority queue of timed entries; entries of one time keep their order. */
export default function createQueue<Value>() {
  const heap: { at: number; order: number; value: Value }[] = [];
  let order = 0;

  function isBefore(left: number, right: number): boolean {
    const [a, b] = [heap[left], heap[right]];
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  function swap(left: number, right: number): void {
    [heap[left], heap[right]] = [heap[right], heap[left]];
  }

  function push(at: number, value: Value): void {
    heap.push({ at, order, value });
    order += 1;
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
