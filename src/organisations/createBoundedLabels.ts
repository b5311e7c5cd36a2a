const OTHER_LABEL = 'other';

/**
 * Creates a function that returns the label of a name in a metric: the name itself for the first `limit`
 * names, then one common label, so that many names do not fill the memory.
 */
export default function createBoundedLabels(limit: number) {
  const labels = new Set<string>();
  return (name: string): string => {
    if (labels.size < limit) {
      labels.add(name);
    }
    return labels.has(name) ? name : OTHER_LABEL;
  };
}
