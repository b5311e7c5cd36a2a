import type createMetrics from './createMetrics';

/** Counters, gauges and histograms of an entry VM. */
type Metrics = ReturnType<typeof createMetrics>;

export default Metrics;
