import type createMetrics from './createMetrics';

/** The product's counters, gauges and histograms. */
type Metrics = ReturnType<typeof createMetrics>;

export default Metrics;
