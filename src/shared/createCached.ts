/**
 * Returns a function that computes a value at most every `maxAgeMs` milliseconds, and otherwise returns
 * the last one. For values that many requests or messages need and that change slowly.
 */
export default function createCached<Value>(
  maxAgeMs: number,
  compute: (now: number) => Value,
): (now: number) => Value {
  let cached: { value: Value; computedAt: number } | undefined;
  return (now) => {
    if (!cached || now - cached.computedAt >= maxAgeMs) {
      cached = { value: compute(now), computedAt: now };
    }
    return cached.value;
  };
}
