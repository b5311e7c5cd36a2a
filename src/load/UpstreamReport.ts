/**
 * What a VM learned about an incarnation of an upstream since its last report: id, start time, age of
 * the stated load in milliseconds, running and waiting requests, slots, duration of work in
 * hundredths of the usual (0 if none was stated), and the durations of answers since the last report, in
 * hundredths of those of the service's median upstream, and the requests that it rejected or did not answer. Sent only for upstreams that state a load.
 */
type UpstreamReport = [string, number, number, number, number, number, number, number[], number];

export default UpstreamReport;
